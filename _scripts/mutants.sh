#!/usr/bin/env bash
# Takes one mechanism away at a time, in a copy, and holds that the test which claims it fails without it.
set -uo pipefail
cd "$(dirname "$0")/.."
copy="$(mktemp -d)"
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 tar -cf - | tar -xf - -C "$copy"
survivors=0
only=" $* "

mutant() { # NAME FILE FROM TO PACKAGE TEST
  [ "$only" != "  " ] && [[ "$only" != *" $1 "* ]] && return
  cp "$2" "$copy/$2"
  if ! python3 - "$copy/$2" "$3" "$4" <<'PY'
import sys
path, old, new = sys.argv[1:]
text = open(path).read()
if text.count(old) < 1:
    sys.exit("text to change not found: " + old)
open(path, "w").write(text.replace(old, new))
PY
  then
    survivors=$((survivors + 1))
    return
  fi
  if (cd "$copy" && EBONYRILL_SOAK_SEEDS="${SEEDS:-150}" go test -count=1 -timeout 60s -run "$6" "./$5" >"$copy/out" 2>&1); then
    echo "SURVIVED $1: $6 passes without the mechanism"
    survivors=$((survivors + 1))
  elif grep -q -e '--- FAIL' -e '^panic' "$copy/out"; then
    echo "killed   $1 by $6"
  else
    echo "UNCLEAR  $1:"
    tail -5 "$copy/out"
    survivors=$((survivors + 1))
  fi
  cp "$2" "$copy/$2"
}

agree=internal/control/raft
group=internal/control/group
grant=internal/control/lease
store=internal/control/store
relay=internal/entry/relay
mutant lateJoinLease $grant/keeper.go 'return r.Applied >= l.joinedAt' 'return true' $grant TestLeaseNeedsATableAsNewAsTheJoin
mutant wholeLease $grant/keeper.go 'return t.lease + t.lease*driftNumerator/driftDenominator' 'return t.lease / 2' $grant TestLostOwnerIsWaitedOutForAWholeLease
mutant wholeLeaseInWorld $grant/keeper.go 'return t.lease + t.lease*driftNumerator/driftDenominator' 'return t.lease / 3' $group TestSoakOwnership
mutant newLeaderWaits $grant/keeper.go '&upstreamLease{renewedAt: now}' '&upstreamLease{renewedAt: now - time.Hour}' $grant TestNewLeaderTreatsLeasesAsLive
mutant ackBeforeMove $grant/keeper.go 'l.held < h.needHeld && now-l.renewedAt' 'false && now-l.renewedAt' $grant TestMoveWaitsForTheOldOwner
mutant ackBeforeMoveInWorld $grant/keeper.go 'l.held < h.needHeld && now-l.renewedAt' 'false && now-l.renewedAt' $group TestSoakOwnership
mutant effectCheck internal/sample/owner/owner.go "if time.Now().UnixMilli() >= deadline || u.options.ChecksFence && !u.grants.Holds(hash, fence, time.Now()) {" "if false {" internal/sample/owner TestEffectIsCheckedAgain
mutant entriesPast $grant/keeper.go 'return owner.ChecksFence || k.entriesPast(now, h.needTable)' 'return owner.ChecksFence || true' $grant TestUncheckedOwnerIsWaitedForAtEntryHosts
mutant ghosts $grant/keeper.go 'if now < k.ghostsGone {' 'if false {' $grant TestUncheckedOwnerIsWaitedForAtEntryHosts
mutant condemned $grant/keeper.go 'if u.Incarnation != a.Incarnation || l == nil || l.condemned {' 'if u.Incarnation != a.Incarnation || l == nil {' $grant TestCondemnedUpstreamIsNotRenewed
mutant replays $grant/keeper.go 'if a.Sequence > l.sequence {' 'if true {' $grant TestReplayedAnnouncements
mutant preVote $agree/elect.go 'c.requestVotes(MessagePreVote, c.hard.Term+1, 0)' 'c.startElection(now, 0)' $agree TestIsolatedHostDeposesNobody
mutant preVoteInWorld $agree/elect.go 'c.requestVotes(MessagePreVote, c.hard.Term+1, 0)' 'c.startElection(now, 0)' $group TestControlHostIsolatedForAnHour
mutant stickyVote $agree/elect.go 'return m.Term > c.hard.Term && c.leaderIsRecent(now)' 'return false' $agree TestRestartedVoterKeepsItsPromiseToTheLeader
mutant leaderLease $agree/core.go 'c.committedOwnTerm() && now < c.leaseEnd(now)' 'c.committedOwnTerm()' $agree 'TestIsolatedLeader|TestPausedLeader'
mutant identity $agree/core.go 'if m.To != c.id || m.From == c.id {' 'if m.From == c.id {' $agree TestMessagesForAnotherIdentityAreDropped
mutant oneVoteAtATime $agree/core.go 'if c.members.voterChanges(next) > 1 {' 'if false {' $agree TestMembershipChangesAreGuarded
mutant persistFirst $group/group.go 'if err = g.store.Save(out.HardState, out.Append); err != nil {' 'if g.core.Role() == raft.Leader { err = g.store.Save(out.HardState, out.Append) }; if err != nil {' $group 'TestSoakOwnership|TestSoakRepair'
mutant redundancy $group/status.go ' && g.core.MembersCommitted()' '' $group TestFullRedundancyMeansCommittedMembers
mutant catchUp $agree/replicate.go '		c.sendSnapshot(now, to, p)' '' $agree TestCaughtUpBySnapshotAfterHundredsOfChanges
mutant lapsedLease $grant/keeper.go 'len(numbers) > 0 {' 'false {' $group TestServedAgainWithinTwoSeconds
mutant emptyLeaving internal/control/place/weighted.go '	p.emptyLeaving()
' '' $group TestLeavingUpstreamGetsNoNewWork
mutant oneWord internal/control/place/health.go ' || !alone && !h.corroborated(now, number, home)' '' $group TestFailingUpstreams
mutant secondHome $group/rehome.go 'g.excludeHome(now, u, home.Name)' '_ = home.Name' $group TestFailingUpstreams
mutant unconfirmedWatch $group/watch.go '	case !fresh && last:
		return nil, nil, g.notLeading()' '	case !fresh && last:' $group 'TestCutOffFollowerAnswersNoWatch|TestSoakOwnership'
mutant forwardedAgain $group/forward.go 'return since >= forwardLate' 'return false' $group TestFollowerForwardsRenewals
mutant heldAge $grant/keeper.go 'now-a.Age.Min()' 'now' $grant TestHeldAnnouncementsRenewFromBefore
mutant sharedBytes internal/shared/wire/wire.go 'slices.Clone(e.bytes)' 'e.bytes[:len(slices.Clone(e.bytes))]' internal/shared/wire TestSharedMessageStaysWhole
mutant drainFinishes internal/ops/daemon/stop.go 'pause(ctx, d.settings.StopTimes().Notice())' '_ = d.callers.Close()' internal/ops/daemon TestGracefulStopAbortsNoRequest
mutant growingGroup $group/votes.go ' && !growing' ' && (growing || true)' $group TestAcknowledgedAsSoon
mutant wholeQuorum $group/votes.go 'return members.Quorum() > g.options.Formation.Voters/2 && !growing' 'return !growing' $group TestGroupWithTooFewHosts
mutant tooFewRemain $group/members.go ' && rest.Quorum() > g.options.Formation.Voters/2' '' $group TestOperatorsCannotRemove
mutant uncountedVote $group/votes.go 'return !m.Standby || g.options.Formation.Standby' 'return true' $group TestHostsThatAreNotCountedNeverVote
mutant uncountedGivesWay $group/votes.go '(!g.mayVote(m) || !g.core.HeardWithin(now, m.ID, deadTime))' '!g.core.HeardWithin(now, m.ID, deadTime)' $group TestHostThatIsNoLongerCounted
mutant refusedMarker $store/store.go '	return s.writeIdentity(identity{ReplicaID: s.identity.ReplicaID, Joined: true})' '	s.identity.Joined = true; return s.writeIdentity(s.identity)' $store TestRefusedMarker
mutant foundAgain $group/form.go '			g.found(ctx)' '			g.found(ctx); g.options.Formation.Found = false' $group TestFoundingIsTriedAgain
mutant rewrittenLog $store/store.go '	return s.rewriteLog(s.hard, s.tail)' '	return s.log.Sync()' $store TestRewriteMakesDurable
mutant rewrittenWhenBack $group/disk.go 'err = g.store.RewriteLog(); err != nil' 'false' $group TestDiskThatIsBack
mutant startByCandidate $group/group.go ' || !m.FromLeader()' '' $group TestGroupStartsHostByHost
mutant contacts $group/group.go 'g.contacts[m.From] = m.Address' '_ = m.Address' $group TestSoakRepair
mutant tornTail $store/store.go 'if err = s.log.Truncate(int64(offset)); err != nil {' 'if err != nil {' $store TestTornTail
mutant durableBeforeAnswered $store/store.go '	return s.log.Sync()
}

// finishSnapshot' '	return nil
}

// finishSnapshot' $store TestRecordReadAfterAKill
mutant durableNames $store/store.go '	if err = s.files.SyncFolder(s.folder); err != nil {
		return err
	}
	return s.finishSnapshot()' '	return s.finishSnapshot()' $store TestJoinReadAfterAKill
mutant finishedSnapshot $store/store.go 'return s.rewriteLog(s.hard, entriesBehind(s.tail, s.snapshot))' 's.tail = entriesBehind(s.tail, s.snapshot); return nil' $store 'TestEntriesSavedAfterACrash|TestWhatWasRead'
mutant snapshotNameFirst $store/store.go '	if err = s.files.SyncFolder(s.folder); err != nil {
		return err
	}
	return s.finishSnapshot()' '	if err = s.finishSnapshot(); err != nil {
		return err
	}
	return s.files.SyncFolder(s.folder)' $store TestLogIsNotRewrittenBefore
mutant corruptMiddle $store/store.go 'if wholeRecordBehind(data[offset:]) {' 'if false {' $store TestCorruptMiddle
mutant outcomeKept internal/control/state/publish.go 'if known, ok := s.Outcome(p.ID); ok {' 'if known, ok := s.Outcome(p.ID); ok && false {' internal/control/state TestPublishOutcomes
mutant compareAndSet internal/control/state/publish.go 'case p.Base != s.config.Version:' 'case false:' internal/control/state TestPublishOutcomes
mutant fenceGrows internal/control/state/plan.go 'e.Owner, e.Next, e.Fence = to, 0, s.index' 'e.Owner, e.Next = to, 0' internal/control/state TestFencesOnlyGrow
mutant mergeFence internal/control/state/plan.go 'e.Fence = s.index
		s.touchGrants(e.Owner)' 's.touchGrants(e.Owner)' internal/control/state TestFencesOnlyGrow
mutant growingVersions internal/shared/table/view.go 'if d.To < v.version || (!d.Full && d.From != v.version) {' 'if false {' internal/entry/route TestOnlyNewerAndWholeTablesAreTaken
mutant replayOff $relay/here.go 'Body: opaqueBody{bytes.NewReader(c.body)}}' 'Body: io.NopCloser(bytes.NewReader(c.body)), GetBody: func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(c.body)), nil }}' $relay TestNonIdempotentOnClosedIdleConnection
mutant unknownIsNotRetried $relay/handler.go 'return c.handling.Idempotent && p.reason != ReasonAmbiguous' 'return true' $relay TestNonIdempotentRunsAtMostOnce
mutant notRunProof $relay/here.go 'if !sent.Written() {' 'if true {' $relay TestNonIdempotentRunsAtMostOnce
mutant sameIdOnce internal/entry/dedup/guard.go 'if r = g.records[id]; r != nil {' 'if r = g.records[id]; false {' $relay TestRequestIDRunsOnce
mutant ambiguousId internal/entry/dedup/guard.go 'if resend != FirstAttempt && g.now().Sub(since) < window {' 'if false {' $relay TestRequestIDRunsOnce
mutant attemptEcho $relay/answer.go 'crossed := echo != attempt &&' 'crossed := false &&' $relay 'TestIdempotentIsAskedAgain|TestLateAndDoubled'
mutant lengthKnown $relay/answer.go 'if crossed || !lengthKnown(response) {' 'if crossed {' $relay TestNonIdempotentRunsAtMostOnce
mutant brokenOnTruncation $relay/handler.go 'panic(http.ErrAbortHandler)' 'return' $relay TestLongAnswerCutShort
mutant tracking $relay/here.go 'if p.outcome == Unknown && !target.Upstream().ChecksFence {' 'if false {' $relay TestRequestThatMayLieInASocket
mutant entryLease $relay/here.go 'if !now.Before(h.options.LeaseEnd()) {' 'if false {' $relay TestUncheckedUpstreamNeedsALease
mutant homeHead $relay/upstream.go 'bound.MaxResponseHeader + hopFields' '10 << 20' $relay TestEndlessHeadIsBounded
mutant longAnswerToAnID $relay/here.go 'p.rest.onClose = append(p.rest.onClose, bounds.Cancel, cancel)' 'cancel()' $relay TestEndlessAnswerToAnIDIsPassedOn
mutant discardedReply $relay/handler.go '		p.discard()
' '' $relay TestDiscardedAnswersGiveTheirSlotsBack
mutant provenConnections $relay/upstream.go 'return p.proven' 'return p.usual' $relay 'TestSilentConnections/closure_after'
mutant callerPatience $relay/handler.go '_ = control.SetReadDeadline(time.Now().Add(h.patience))' '' $relay TestSilentCallerIsGivenUp
mutant retryBudget internal/entry/retry/retry.go 'if b.saved < 1 {' 'if false {' $relay TestRetriesStayInBudget
mutant turns internal/entry/admit/queue.go 'l.lanes = append(l.lanes, a)
			}
			return t, late' 'l.lanes = append([]*lane{a}, l.lanes...)
			}
			return t, late' internal/entry/admit TestCallersTakeTurns
mutant earlyShed internal/entry/admit/queue.go '+q.average > t.deadline {
		return Shed, nil' '+q.average > t.deadline && false {
		return Shed, nil' internal/entry/admit TestHopelessRequestIsShedAtOnce
mutant wireVersion internal/shared/wire/wire.go 'v != Version' 'false' internal/shared/wire TestOtherVersions
mutant relayAnswersAtStop $relay/handler.go 'retry.Bound(ctx, 0, h.mayServe)' 'retry.Bound(ctx, 0, context.Background())' $relay TestStopAnswersRequestsWithoutAnswer
mutant relayHomeAtStop $relay/hop.go 'retry.Bound(ctx, 0, h.mayServe)' 'retry.Bound(ctx, 0, context.Background())' $relay TestStopOfAHomeAnswersOtherHosts
mutant relayLongAnswerAtStop $relay/handler.go 'inTime := bounds.Disarm()' 'inTime := true' $relay TestStopDoesNotCutLongAnswers
mutant relayLongAnswerInTry $relay/here.go 'p.rest != nil && !bounds.Disarm()' 'false' $relay TestLongAnswerOutlastsTheFirstTry
mutant relayLongAnswerInHop $relay/hop.go 'p.rest != nil && !bounds.Disarm()' 'false' $relay TestLongAnswerOutlastsTheFirstTry
mutant patienceForEachPart $relay/handler.go 'p.control.SetWriteDeadline(time.Now().Add(p.patience))' 'error(nil)' $relay TestCallerThatTakesALongAnswerIsNotGivenUp
mutant silentCalls internal/shared/wire/wire.go 'c.http.CloseIdleConnections()' '_ = c' internal/shared/wire TestSilentConnectionCostsOneCall
mutant peerHead internal/shared/wire/transport.go 'MaxResponseHeaderBytes: maxHeadBytes' 'MaxResponseHeaderBytes: 0' internal/shared/wire TestEndlessAnswerOfAPeerIsBounded
mutant peerBody internal/shared/wire/transport.go 'b.left < 0' 'b.left < -1<<40' internal/shared/wire TestEndlessAnswerOfAPeerIsBounded
mutant timeOfBodies internal/ops/daemon/bodies.go 'control.SetReadDeadline(time.Now().Add(timeout))' 'control.SetReadDeadline(time.Time{})' internal/ops/daemon TestSlowBodyTimesOut
mutant sampleAnswer internal/sample/owner/owner.go 'io.LimitReader(response.Body, maxAnswerBytes)' 'response.Body' internal/sample/owner TestEndlessAnswerToAnAnnouncementIsBounded
mutant sampleHead internal/sample/owner/owner.go 'MaxResponseHeaderBytes: maxAnswerHead' 'MaxResponseHeaderBytes: 0' internal/sample/owner TestEndlessAnswerToAnAnnouncementIsBounded
deal=internal/entry/sched
broker=internal/entry/broker
conns=internal/entry/conns
serve=internal/entry/serve
mutant dealtSlots $deal/place.go 'return max(s.up.Slots, 1) }' 'return max(s.up.Slots, 1) + 1 }' $deal TestSlotsAreNeverExceeded
mutant partOfUpstream $deal/parts.go 'counts[u.DataCentre], 1)' 'counts[u.DataCentre], 1)+uint16(u.Slots)' $deal TestPartsHoldEachUpstreamOnce
mutant boundedResends $deal/ask.go 'if unheard++; unheard == len(resendPauses) {' 'if unheard = 0; false {' $deal TestSilenceIsNotAnsweredWithMore
mutant lateMargin $deal/desk.go 'tookMargin     = 1.3' 'tookMargin     = 0.5' $deal TestReplayOfParts
mutant hurriedIsNotQueued $deal/desk.go 'if a.NoQueue && (' 'if false && (' $deal TestHurriedAskIsNotQueued
mutant hostBudget $broker/budget.go 'hostShare = 0.95' 'hostShare = 1.6' $broker TestHostsKeepTheBudgetInSum
mutant withdrawnFromLeaving $broker/run.go 'if !ok || !j.broker.mayServe(j.broker.options.Clock(), current) {' 'if false && (!ok || !j.broker.mayServe(j.broker.options.Clock(), current)) {' $broker TestNothingIsSentToOneThatLeftMeanwhile
mutant waitingAtStop $broker/run.go '0, j.broker.mayWait)' '0, context.Background())' $broker TestStopTurnsAwayThoseWhoWait
mutant answersAtStop $broker/run.go 'retry.Bound(ctx, 0, b.mayWork)' 'retry.Bound(ctx, 0, context.Background())' $broker TestStopAnswersEveryRequestThatWasRead
mutant halfReadAtStop $broker/stop.go 'front.RejectIncomplete()' '_ = front' $broker TestStopAnswersEveryRequestThatWasRead
mutant lastSixth internal/shared/conf/stop.go 'serveShare = 0.86' 'serveShare = 0.8' internal/shared/conf TestPhasesOfAStopFitItsTime
mutant longAnswerAtStop $broker/beside.go 'if bounds.Disarm() {' 'if comes != nil {' $broker TestStopDoesNotCutLongAnswers
mutant begunAtStop $broker/beside.go 'context.AfterFunc(j.broker.mayCome' 'context.AfterFunc(j.broker.mayWork' $broker TestStopTakesAnswersThatHaveBegun
mutant tooLateForStop $broker/stop.go 'j.request.CompletedAt > s.noticeEnds && j.expires > s.servingEnds' 'false' $broker TestStopPassesNothingOnThatItWouldCut
mutant forgottenRests $conns/rests.go 'r.found++' '_ = r.found' $conns TestForgottenConnectionsAreNotUsed
mutant answerHead $conns/exchange.go 'x.conn.limited.Allow(bound.MaxResponseHeader)' 'x.conn.limited.Allow(bound.Unlimited)' $conns 'TestEndlessHeadIsBounded|TestEndlessHeadsAtOnceKeepMemory'
mutant skippedWhole $conns/exchange.go ' || n > wholeAnswer {' ' || n < 0 {' $conns TestBodyOfAnothersAnswerIsNoAnswer
mutant quietRests $conns/pool.go ' && c.quiet() {
				fresh' ' {
				fresh' $conns TestBytesBehindAnAnswerEndItsConnection
mutant gaveWayForNothing $broker/beside.go 'if j.lookBeside(begun, u, part, left) {' 'if j.lookBeside(begun, u, part, left) || begun.Err() == nil {' $broker TestFirstTryIsNotBrokenOff
mutant brokenStreams $broker/stream.go 's.ended(ctx, written)' 's.ended(ctx, true)' $broker 'TestEndlessBodyCountsAsAFailure|TestBrokenStreams'
mutant stopOfBusyConnections $serve/phase.go 'if p.sealed || p.stopping && before > 0 {' 'if p.sealed || p.stopping && before > 99 {' $serve TestStopTakesNothingMoreFromBusyConnections
mutant lastOfTheDue $serve/phase.go '(p.stopping || p.sealed) && p.due == 1' '(p.stopping || p.sealed) && p.due > 0' $serve TestEveryOrderOfAStopAnswersWhatBegan
mutant endBehindKeptAnswer $serve/phase.go 'end = p.sealed && p.due == 0 && !p.closing' 'end = false' $serve TestEveryOrderOfAStopAnswersWhatBegan
mutant idleEndsAtStop $serve/phase.go 'return p.idleEnds && p.due == 0 && !p.reading' 'return false' $serve TestEveryOrderOfAStopAnswersWhatBegan
mutant idleEndsLast $serve/phase.go 'return p.idleEnds && p.due == 0' 'return p.stopping && p.due == 0' $serve TestIdleConnectionsEndBehindTheBusyOnes
mutant lastLook $serve/read.go 'if wire.Pending(c.raw) {' 'if wire.Pending(c.raw) && false {' $serve TestStopAnswersWhatIdleConnectionsWereSent
mutant writtenBeforeStopped $serve/server.go 'for s.Count() > 0 {' 'for false {' $serve TestStopWaitsForTheAnswerBeingWritten
mutant readOnBehindTheLast $serve/conn.go 'io.Copy(io.Discard, c.reader)' 'io.CopyN(io.Discard, c.reader, 1)' $serve TestLastAnswerIsNotReset
mutant continueInOrder $serve/read.go 'c.order <- &exchange{interim: true}' '_ = c.writeContinue()' $serve TestExpectedBodyIsAskedForBetweenAnswers
mutant panicIsAnswered $serve/conn.go 'x.answer <- Text(http.StatusBadGateway, "the request could not be handled")' 'panic(Text(http.StatusBadGateway, "the request could not be handled"))' $serve TestPanicEndsOneRequest
mutant headHasNoBody $serve/types.go 'if method == http.MethodHead &&' 'if false &&' $serve TestHeadGetsNoBody
mutant plainForOldCallers $serve/types.go 'a.untilClose = !r.ProtoAtLeast(1, 1) &&' 'a.untilClose = false &&' $serve TestOldCallersReadLongAnswers/whole
mutant resetForOldCallers $serve/write.go '_ = tcp.SetLinger(0)' '_ = tcp' $serve TestOldCallersReadLongAnswers/broken
mutant slowBodyIsRefused $serve/read.go 'return nil, c.late("the body did not come in time")' 'return nil, &unread{gone: err}' $serve TestSlowBodyCostsNoOtherAnswer
mutant announcedBody $serve/read.go 'firstBody = 32 << 10' 'firstBody = 32 << 30' $serve TestAnnouncedBodyTakesNoMemory
echo "$survivors mutants survived"
[ "$survivors" -eq 0 ]
