#!/usr/bin/env bash
# Runs mutation tests. Each mutant is one mechanism removed in a copy of the repository, by a replacement of source text; the
# test that covers the mechanism must fail. Arguments are names of mutants to run (default: all); SEEDS sets the soak seeds.
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
lease=internal/control/lease
store=internal/control/store
relay=internal/entry/relay
mutant lateJoinLease $lease/manager.go 'return r.Applied >= l.joinedAt' 'return true' $lease TestLeaseNeedsATableAsNewAsTheJoin
mutant fullLease $lease/manager.go 'return t.lease + t.lease*driftNumerator/driftDenominator' 'return t.lease / 2' $lease TestLostOwnerKeepsItsSlicesUntilTheLeaseExpires
mutant fullLeaseInWorld $lease/manager.go 'return t.lease + t.lease*driftNumerator/driftDenominator' 'return t.lease / 3' $group TestSoakOwnership
mutant newLeaderWaits $lease/manager.go '&upstreamLease{renewedAt: now, sequence: sequence}' '&upstreamLease{renewedAt: now - time.Hour, sequence: sequence}' $lease TestNewLeaderTreatsLeasesAsLive
mutant ackBeforeMove $lease/manager.go 'l.ackedVersion < h.ackVersion && now-l.renewedAt' 'false && now-l.renewedAt' $lease TestMoveWaitsForTheOldOwner
mutant ackBeforeMoveInWorld $lease/manager.go 'l.ackedVersion < h.ackVersion && now-l.renewedAt' 'false && now-l.renewedAt' $group TestSoakOwnership
mutant effectCheck internal/sample/owner/owner.go "if time.Now().UnixMilli() >= deadline || u.options.ChecksFence && !u.grants.Holds(hash, fence, time.Now()) {" "if false {" internal/sample/owner TestEffectIsCheckedAgain
mutant oldRequestsEnded $lease/manager.go 'return owner.ChecksFence || m.oldRequestsEnded(now, h.tableVersion)' 'return owner.ChecksFence || true' $lease TestUncheckedOwnerIsWaitedForAtEntryHosts
mutant inFlightRequests $lease/manager.go 'if now < m.inFlightUntil {' 'if false {' $lease TestUncheckedOwnerIsWaitedForAtEntryHosts
mutant endedLease $lease/manager.go 'if u.Incarnation != a.Incarnation || l == nil || l.ended {' 'if u.Incarnation != a.Incarnation || l == nil {' $lease TestEndedLeaseIsNotRenewed
mutant replayedAnnouncements $lease/manager.go 'if a.Sequence > l.sequence {' 'if true {' $lease TestReplayedAnnouncements
mutant preVote $agree/elect.go 'c.requestVotes(MessagePreVote, c.hardState.Term+1, 0)' 'c.startElection(now, 0)' $agree TestIsolatedHostDeposesNobody
mutant preVoteInWorld $agree/elect.go 'c.requestVotes(MessagePreVote, c.hardState.Term+1, 0)' 'c.startElection(now, 0)' $group TestControlHostIsolatedForAnHour
mutant stickyVote $agree/elect.go 'return m.Term > c.hardState.Term && c.heardLeaderRecently(now)' 'return false' $agree TestRestartedVoterKeepsTheLeaderLease
mutant leaderLease $agree/core.go 'c.committedOwnTerm() && now < c.leaseEnd(now)' 'c.committedOwnTerm()' $agree 'TestIsolatedLeader|TestPausedLeader'
mutant identity $agree/core.go 'if m.To != c.id || m.From == c.id {' 'if m.From == c.id {' $agree TestMessagesForAnotherIdentityAreDropped
mutant oneVoteAtATime $agree/core.go 'if c.members.voterChanges(next) > 1 {' 'if false {' $agree TestMembershipChangesAreGuarded
mutant persistFirst $group/group.go 'if err = g.store.Save(out.HardState, out.Append); err != nil {' 'if g.core.Role() == raft.Leader { err = g.store.Save(out.HardState, out.Append) }; if err != nil {' $group 'TestSoakOwnership|TestSoakRepair'
mutant redundancy $group/status.go ' && g.core.MembersCommitted()' '' $group TestFullRedundancyMeansCommittedMembers
mutant catchUp $agree/replicate.go '		c.sendSnapshot(now, to, p)' '' $agree TestCaughtUpBySnapshotAfterHundredsOfChanges
mutant expiredLease $lease/manager.go 'len(numbers) > 0 {' 'false {' $group TestServedAgainWithinTwoSeconds
mutant drainedUpstream internal/control/place/weighted.go '	p.moveFromDraining()
' '' $group TestLeavingUpstreamGetsNoNewWork
mutant confirmedFailure internal/control/place/health.go ' || !onlyHost && !h.confirmedByOther(now, number, home)' '' $group TestFailingUpstreams
mutant alternateHome $group/rehome.go 'g.excludeHome(now, u, home.Name)' '_ = home.Name' $group TestFailingUpstreams
mutant unconfirmedWatch $group/watch.go '	case !fresh && last:
		return nil, nil, g.notLeading()' '	case !fresh && last:' $group 'TestCutOffFollowerAnswersNoWatch|TestSoakOwnership'
mutant callResent $group/forward.go 'return since >= callLateTime' 'return false' $group TestFollowerForwardsRenewals
mutant announcementAge $lease/manager.go 'now-a.Age.Min()' 'now' $lease TestHeldAnnouncementsRenewFromBefore
mutant sharedBytes internal/shared/wire/wire.go 'slices.Clone(e.bytes)' 'e.bytes[:len(slices.Clone(e.bytes))]' internal/shared/wire TestSharedMessageStaysUnchanged
mutant drainFinishes internal/ops/daemon/stop.go 'pause(ctx, d.settings.StopTimes().Notice())' '_ = d.relayServer.Close()' internal/ops/daemon TestGracefulStopAbortsNoRequest
mutant growingGroup $group/votes.go ' && !growing' ' && (growing || true)' $group TestAcknowledgedAsSoon
mutant fullQuorum $group/votes.go 'return members.Quorum() > g.options.Formation.Voters/2 && !growing' 'return !growing' $group TestGroupWithTooFewHosts
mutant tooFewRemain $group/members.go ' && rest.Quorum() > g.options.Formation.Voters/2' '' $group TestOperatorsCannotRemove
mutant standbyVote $group/votes.go 'return !m.Standby || g.options.Formation.Standby' 'return true' $group TestStandbyHostsNeverVote
mutant standbyVoterReplaced $group/votes.go '(!g.mayVote(m) || !g.core.HeardWithin(now, m.ID, deadVoterTime))' '!g.core.HeardWithin(now, m.ID, deadVoterTime)' $group TestVoterTurnedStandby
mutant failedIdentityWrite $store/store.go '	return s.writeIdentity(identity{ReplicaID: s.identity.ReplicaID, Joined: true})' '	s.identity.Joined = true; return s.writeIdentity(s.identity)' $store TestFailedIdentityWrite
mutant bootstrapRetry $group/formation.go '			g.tryBootstrap(ctx)' '			g.tryBootstrap(ctx); g.options.Formation.Bootstrap = false' $group TestBootstrapIsRetried
mutant rewrittenLog $store/store.go '	return s.rewriteLog(s.hardState, s.entries)' '	return s.log.Sync()' $store TestRewriteMakesDurable
mutant rewrittenAfterReopen $group/disk.go 'err = g.store.RewriteLog(); err != nil' 'false' $group TestReopenedDisk
mutant startByCandidate $group/group.go ' || !m.FromLeader()' '' $group TestGroupStartsHostByHost
mutant senderAddresses $group/group.go 'g.senderAddresses[m.From] = m.Address' '_ = m.Address' $group TestSoakRepair
mutant tornTail $store/store.go 'if err = s.log.Truncate(int64(offset)); err != nil {' 'if err != nil {' $store TestTornTail
mutant durableBeforeResponse $store/store.go '	return s.log.Sync()
}

// finishSnapshot' '	return nil
}

// finishSnapshot' $store TestRecordReadAfterAKill
mutant durableNames $store/store.go '	if err = s.files.SyncFolder(s.folder); err != nil {
		return err
	}
	return s.finishSnapshot()' '	return s.finishSnapshot()' $store TestJoinReadAfterAKill
mutant finishedSnapshot $store/store.go 'return s.rewriteLog(s.hardState, entriesAfter(s.entries, s.snapshot))' 's.entries = entriesAfter(s.entries, s.snapshot); return nil' $store 'TestEntriesSavedAfterACrash|TestWhatWasRead'
mutant snapshotNameFirst $store/store.go '	if err = s.files.SyncFolder(s.folder); err != nil {
		return err
	}
	return s.finishSnapshot()' '	if err = s.finishSnapshot(); err != nil {
		return err
	}
	return s.files.SyncFolder(s.folder)' $store TestLogIsNotRewrittenBefore
mutant corruptMiddle $store/store.go 'if hasLaterRecord(data[offset:]) {' 'if false {' $store TestCorruptMiddle
mutant outcomeKept internal/control/state/publish.go 'if known, ok := s.Outcome(p.ID); ok {' 'if known, ok := s.Outcome(p.ID); ok && false {' internal/control/state TestPublishOutcomes
mutant compareAndSet internal/control/state/publish.go 'case p.Base != s.config.Version:' 'case false:' internal/control/state TestPublishOutcomes
mutant fenceGrows internal/control/state/plan.go 'e.Owner, e.Next, e.Fence = to, 0, s.index' 'e.Owner, e.Next = to, 0' internal/control/state TestFencesOnlyGrow
mutant mergeFence internal/control/state/plan.go 'e.Fence = s.index
		s.bumpGrantsVersion(e.Owner)' 's.bumpGrantsVersion(e.Owner)' internal/control/state TestFencesOnlyGrow
mutant growingVersions internal/shared/table/view.go 'if d.To < v.version || (!d.Full && d.From != v.version) {' 'if false {' internal/entry/route TestOnlyNewerAndIntactTablesAreApplied
mutant replayOff $relay/local.go 'Body: opaqueBody{c.body.NewReader()}}' 'Body: io.NopCloser(c.body.NewReader()), GetBody: func() (io.ReadCloser, error) { return io.NopCloser(c.body.NewReader()), nil }}' $relay TestNonIdempotentOnClosedIdleConnection
mutant unknownIsNotRetried $relay/handler.go 'return c.handling.Idempotent && p.reason != ReasonAmbiguous' 'return true' $relay TestNonIdempotentRunsAtMostOnce
mutant unsentIsNotRun $relay/local.go 'if !sent.Written() {' 'if true {' $relay TestNonIdempotentRunsAtMostOnce
mutant sameIdOnce internal/entry/dedup/cache.go 'if r = c.records[id]; r != nil {' 'if r = c.records[id]; false {' $relay TestRequestIDRunsOnce
mutant ambiguousId internal/entry/dedup/cache.go 'if resend != FirstAttempt && c.now().Sub(since) < window {' 'if false {' $relay TestRequestIDRunsOnce
mutant attemptEcho $relay/response.go 'mismatched := echo != attempt &&' 'mismatched := false &&' $relay 'TestIdempotentIsRetried|TestLateAndDuplicateResponses'
mutant lengthKnown $relay/response.go 'if mismatched || !endIsDelimited(response) {' 'if mismatched {' $relay TestNonIdempotentRunsAtMostOnce
mutant abortOnTruncation $relay/handler.go 'panic(http.ErrAbortHandler)' 'return' $relay TestTruncatedLongResponse
mutant tracking $relay/local.go 'if p.outcome == Unknown && !target.Upstream().ChecksFence {' 'if false {' $relay TestRequestThatMayLieInASocket
mutant entryLease $relay/local.go 'if !now.Before(h.options.LeaseEnd()) {' 'if false {' $relay TestUncheckedUpstreamNeedsALease
mutant homeResponseHeader $relay/upstream.go 'bound.MaxResponseHeader + hopHeaderBytes' '10 << 20' $relay TestEndlessResponseHeaderIsBounded
mutant longResponseToAnID $relay/local.go 'p.rest.onClose = append(p.rest.onClose, bounds.Cancel, cancel)' 'cancel()' $relay TestEndlessResponseIsNotBufferedForResends
mutant discardedResponse $relay/handler.go '		p.discard()
' '' $relay TestDiscardedResponsesReleaseSlots
mutant provenConnections $relay/upstream.go 'return p.nonIdempotent' 'return p.idempotent' $relay 'TestUnresponsiveConnections/closure_after'
mutant callerReadTimeout $relay/handler.go '_ = control.SetReadDeadline(time.Now().Add(h.callerTimeout))' '' $relay TestUnresponsiveCallerIsGivenUp
mutant retryBudget internal/entry/retry/retry.go 'if b.balance < 1 {' 'if false {' $relay TestRetriesStayInBudget
mutant callersTakeTurns internal/entry/admit/queue.go 'cq.callers = append(cq.callers, queue)
			}
			return r, late' 'cq.callers = append([]*callerQueue{queue}, cq.callers...)
			}
			return r, late' internal/entry/admit TestCallersTakeTurns
mutant earlyShed internal/entry/admit/queue.go '+q.average > r.deadline {
		return Shed, nil' '+q.average > r.deadline && false {
		return Shed, nil' internal/entry/admit TestUnservableRequestIsShedAtOnce
mutant wireVersion internal/shared/wire/wire.go 'v != Version' 'false' internal/shared/wire TestOtherVersions
mutant relayResponsesAtStop $relay/handler.go 'retry.Bound(ctx, 0, h.serving)' 'retry.Bound(ctx, 0, context.Background())' $relay TestStopAnswersOutstandingRequests
mutant relayHomeAtStop $relay/hop.go 'retry.Bound(ctx, 0, h.serving)' 'retry.Bound(ctx, 0, context.Background())' $relay TestStopOfAHomeAnswersOtherHosts
mutant relayLongResponseAtStop $relay/handler.go 'inTime := bounds.Disarm()' 'inTime := true' $relay TestStopDoesNotTruncateLongResponses
mutant relayLongResponseInAttempt $relay/local.go 'p.rest != nil && !bounds.Disarm()' 'false' $relay TestLongResponseOutlastsFirstAttemptTimeout
mutant relayLongResponseInHop $relay/hop.go 'p.rest != nil && !bounds.Disarm()' 'false' $relay TestLongResponseOutlastsFirstAttemptTimeout
mutant callerWriteTimeout $relay/handler.go 'p.control.SetWriteDeadline(time.Now().Add(p.timeout))' 'error(nil)' $relay TestCallerThatReadsSlowlyIsNotGivenUp
mutant unresponsiveConnection internal/shared/wire/wire.go 'c.http.CloseIdleConnections()' '_ = c' internal/shared/wire TestUnresponsiveConnectionCostsOneCall
mutant peerResponseHeader internal/shared/wire/transport.go 'MaxResponseHeaderBytes: maxHeaderBytes' 'MaxResponseHeaderBytes: 0' internal/shared/wire TestEndlessResponseOfAPeerIsBounded
mutant peerResponseBody internal/shared/wire/transport.go 'b.left < 0' 'b.left < -1<<40' internal/shared/wire TestEndlessResponseOfAPeerIsBounded
mutant bodyReadTimeout internal/ops/daemon/bodies.go 'control.SetReadDeadline(time.Now().Add(timeout))' 'control.SetReadDeadline(time.Time{})' internal/ops/daemon TestSlowBodyTimesOut
mutant sampleResponseBody internal/sample/owner/owner.go 'io.LimitReader(response.Body, maxResponseBytes)' 'response.Body' internal/sample/owner TestEndlessResponseToAnAnnouncementIsBounded
mutant sampleResponseHeader internal/sample/owner/owner.go 'MaxResponseHeaderBytes: maxHeaderBytes' 'MaxResponseHeaderBytes: 0' internal/sample/owner TestEndlessResponseToAnAnnouncementIsBounded
sched=internal/entry/sched
broker=internal/entry/broker
conns=internal/entry/conns
serve=internal/entry/serve
mutant assignedSlots $sched/place.go 'u.report.elsewhere), 1)' 'u.report.elsewhere), 1) + 1' $sched TestSlotsAreNeverExceeded
mutant subsetOfUpstream $sched/subset.go 'counts[u.DataCentre], 1)' 'counts[u.DataCentre], 1)+uint16(u.Slots)' $sched TestSubsetsHoldEachUpstreamOnce
mutant boundedResends $sched/acquire.go 'if unanswered++; unanswered == len(replyTimeouts) {' 'if unanswered = 0; false {' $sched TestResendsAreBounded
mutant lateMargin $sched/scheduler.go 'avgTimeMargin       = 1.3' 'avgTimeMargin       = 0.5' $sched TestReplayOfSubsets
mutant noQueueRequest $sched/scheduler.go 'if r.NoQueue && (' 'if false && (' $sched TestNoQueueRequestIsNotQueued
mutant hostBudget $broker/budget.go 'hostShare = 0.95' 'hostShare = 1.6' $broker TestRetryBudgetHoldsOverAllHosts
mutant withdrawnFromLeaving $broker/attempt.go 'case !ok || !b.mayServe(now, current):' 'case !ok:' $broker TestNothingIsSentToUpstreamThatLeft
mutant waitingAtStop $broker/attempt.go '0, j.broker.waitCtx)' '0, context.Background())' $broker TestStopRejectsWaitingRequests
mutant responsesAtStop $broker/attempt.go 'retry.Bound(ctx, 0, b.serveCtx)' 'retry.Bound(ctx, 0, context.Background())' $broker TestStopAnswersEveryRequestRead
mutant incompleteAtStop $broker/stop.go 'server.RejectIncomplete()' '_ = server' $broker TestStopAnswersEveryRequestRead
mutant lastSixth internal/shared/conf/stop.go 'serveShare   = 0.86' 'serveShare   = 0.8' internal/shared/conf TestPhasesOfAStopFitItsTime
mutant longResponseAtStop $broker/failover.go 'if bounds.Disarm() {' 'if disarm != nil {' $broker TestStopDoesNotCutStreams
mutant begunResponseAtStop $broker/failover.go 'context.AfterFunc(j.broker.receiveCtx' 'context.AfterFunc(j.broker.serveCtx' $broker TestStopAwaitsResponsesThatHaveBegun
mutant tooLateForStop $broker/stop.go 'j.request.CompletedAt > s.noticeEnds && j.expires > s.servingEnds' 'false' $broker TestStopForwardsOnlyWhatEndsInTime
mutant droppedConnections $conns/idle.go 'l.drops++' '_ = l.drops' $conns TestDroppedConnectionsAreNotReused
mutant responseHeader $conns/exchange.go 'x.conn.limited.Allow(bound.MaxResponseHeader)' 'x.conn.limited.Allow(bound.Unlimited)' $conns 'TestEndlessHeaderIsBounded|TestConcurrentEndlessHeadersBoundMemory'
memory=internal/shared/memory
mutant defaultMemory $memory/limits.go 'if limit < uint64(memory) {' 'if false {' $memory TestDefaultMemory
mutant mediumClass $memory/account.go 'mediumBytes  = 1<<20 + 128<<10' 'mediumBytes  = 64 << 10' $memory TestMovingCallersPassStalledOnes
mutant silentClaims $memory/account.go 'silentTime = 500 * time.Millisecond' 'silentTime = 2 * time.Second' $memory TestMovingCallersBesideStalledOnesOfTheirSize
mutant oversizeTurn $memory/account.go 'return fits && !a.isOversizeDue(now)' 'return fits' $memory TestOversizeBesideMedium
mutant reserveBeforeAhead $memory/account.go 'a.held+bytes <= a.size-forSmall-a.share(mediumShare) &&' 'a.held+bytes <= a.size &&' $memory TestRequestsAheadLeaveTheReserve
mutant announcedBodies $memory/server.go 'case described.Limit > 0 && r.ContentLength > described.Limit:' 'case false:' $memory TestBodiesOverTheLimit
mutant unreadBytes $memory/listen.go 'return setReceiveBuffer(raw, l.receive)' 'return nil' $memory TestUnreadBytesAreBounded
mutant connectionTurns $memory/listen.go 'case s.busy > 0 &&' 'case false &&' $memory TestBusyConnectionsTakeTurns
mutant bufferedAnswers $memory/answer.go 'return Hold(r.Context(), int64(a.body.Cap()))' 'return true' $memory TestBufferedAnswers
mutant upstreamConnections internal/entry/conns/open.go '(o.all >= o.limit || ahead)' '(ahead && false)' internal/entry/conns TestAllConnectionsAreLimited
mutant heldResponses internal/entry/conns/exchange.go '!x.call.Hold(expected)' 'false' internal/entry/conns TestResponseWithoutMemoryIsStreamed
mutant skippedBody $conns/exchange.go ' || n > maxBufferedBody {' ' || n < 0 {' $conns TestBodyOfMismatchedResponseIsNoResponse
mutant quietIdleConnections $conns/pool.go ' && c.quiet() {
				kept' ' {
				kept' $conns TestExtraBytesCloseTheConnection
mutant failoverWithoutAlternative $broker/failover.go 'if j.awaitAlternative(begun, u, wait, left) {' 'if j.awaitAlternative(begun, u, wait, left) || begun.Err() == nil {' $broker TestFirstAttemptContinuesWithoutAlternative
mutant brokenStreams $broker/stream.go 's.result(ctx, written)' 's.result(ctx, true)' $broker 'TestEndlessBodyCountsAsFailure|TestStreamFailures'
mutant stopOfBusyConnections $serve/state.go 'if s.readClosed || s.draining && before > 0 {' 'if s.readClosed || s.draining && before > 99 {' $serve TestDrainHandlesNoFurtherRequestOnBusyConnections
mutant lastOutstanding $serve/state.go '(s.draining || s.readClosed) && s.outstanding == 1' '(s.draining || s.readClosed) && s.outstanding > 0' $serve TestShutdownModelAnswersEveryBegunRequest
mutant endAfterKeptResponse $serve/state.go 'end = s.readClosed && s.outstanding == 0 && !s.closing' 'end = false' $serve TestShutdownModelAnswersEveryBegunRequest
mutant idleClosedAtStop $serve/state.go 'return s.closeIdle && s.outstanding == 0 && !s.reading' 'return false' $serve TestShutdownModelAnswersEveryBegunRequest
mutant idleClosedLast $serve/state.go 'return s.closeIdle && s.outstanding == 0' 'return s.draining && s.outstanding == 0' $serve TestIdleConnectionsCloseAfterBusyOnes
mutant pendingBeforeClose $serve/read.go 'if wire.Pending(c.raw) {' 'if wire.Pending(c.raw) && false {' $serve TestShutdownAnswersRequestsOnIdleConnections
mutant writtenBeforeStopped $serve/server.go 'for s.Count() > 0 {' 'for false {' $serve TestShutdownFailsWhileAResponseIsWritten
mutant discardAfterLastResponse $serve/conn.go 'io.Copy(io.Discard, c.reader)' 'io.CopyN(io.Discard, c.reader, 1)' $serve TestLastResponseIsNotReset
mutant continueInOrder $serve/read.go 'c.exchanges <- &exchange{interim: true}' '_ = c.writeContinue()' $serve TestContinueIsSentBetweenResponses
mutant panicIsAnswered $serve/conn.go 'x.response <- Text(http.StatusBadGateway, "the request could not be handled")' 'panic(Text(http.StatusBadGateway, "the request could not be handled"))' $serve TestPanicEndsOneRequest
mutant headHasNoBody $serve/types.go 'if method == http.MethodHead &&' 'if false &&' $serve TestHeadGetsNoBody
mutant http10CloseDelimited $serve/types.go 'resp.untilClose = !r.ProtoAtLeast(1, 1) &&' 'resp.untilClose = false &&' $serve TestHTTP10CallersReadLongResponses/whole
mutant http10Reset $serve/write.go '_ = tcp.SetLinger(0)' '_ = tcp' $serve TestHTTP10CallersReadLongResponses/broken
mutant slowBodyIsRejected $serve/read.go 'return bound.Body{}, c.rejectLate("the body did not come in time")' 'return bound.Body{}, &readFailure{closed: err}' $serve TestSlowBodyAffectsNoOtherResponse
mutant announcedBodyBuffer internal/entry/bound/body.go 'firstBlock = 32 << 10' 'firstBlock = 32 << 30' $serve TestAnnouncedBodyAllocatesLittle
mutant partOfAHeaderLine $serve/read.go 'err != nil && c.limited.Failure() != nil' 'false' $serve TestHeaderLineThatStopsIsNotMalformed
mutant drainBeforeLeave $broker/stop.go 'server.Drain()' '_ = server.Drain' $broker TestStopDrainsConnectionsBeforeTheHostLeaves
mutant lostUpstreamReturns $lease/manager.go '|| joinsAgain(s, a)' '' $lease TestLostUpstreamJoinsAgain
mutant leftUpstreamStaysAway internal/control/state/drain.go 's.setNewestIncarnation(d.Name, d.Incarnation)' '_ = d' internal/control/lease TestLostUpstreamJoinsAgain
mutant unjoinedDeparture internal/control/state/drain.go 'if d.On && (unjoined ||' 'if d.On && (' internal/control/state TestDepartureOutlastsTheProcess
mutant acknowledgedLeave $group/announce.go 'a.Leaving && !g.Left' 'a.Leaving && false' $group TestAcknowledgedLeaveIsRecorded
mutant idOnce $conns/carried.go '!slices.Contains(l.hashes, maphash.String(idSeed, id))' '!slices.Contains(l.hashes, 0)' $conns TestRepeatedResponseIsNotTheNextOne
mutant idOnceInBroker $conns/carried.go '!slices.Contains(l.hashes, maphash.String(idSeed, id))' '!slices.Contains(l.hashes, 0)' $broker TestRepeatedRejectionIsNotTheNextOne
mutant boundedIDs $conns/pool.go 'c.carried.full() || ' '' $conns TestConnectionCarriesLimitedRequests
mutant singleWithoutID $relay/upstream.go 'return u.single, true' 'return u.pools.of(idempotent), true' $relay TestRepeatedResponseWithoutID
mutant leavingInResponse $broker/notice.go 'if n.leaving && b.upstreams.notices.leave(now, u) {' 'if false {' $broker TestLeavingInAnyResponseEndsUse
mutant leavingIsFinal $broker/notices.go 'return !p.leaving && p.pausedUntil <= now ||' 'return p.number == 0 ||' $broker TestLeavingIsFinal
mutant pauseBeforeSend $broker/attempt.go 'case b.upstreams.notices.pause(now, current) > 0:' 'case false:' $broker TestPauseWhileConnecting
mutant pausedUpstream $broker/notice.go 'b.upstreams.notices.setPause(now, u, n.pause)' '_ = now' $broker 'TestPausedUpstreamGetsNoRequests|TestAllUpstreamsPaused'
mutant departureReport $group/serve.go 'g.recordLeaving(l, p, "response")' '_ = p' $group TestReportOfAnEarlierProcessDrainsNothing
mutant acceptedBeforeClose $serve/server.go 's.acceptPending(ctx)' 's.closeListener()' $serve TestShutdownAnswersConnectionsNotAcceptedYet
mutant grantsFit $lease/limit.go 'return total <= l.bytes' 'return true' $lease TestGrantsFitInTheResponse
mutant handoverWait $lease/finish.go 'now-d.handover.dueSince >= maxHandoverWait' 'false' $lease TestLongHandoverDataIsDropped
mutant refence internal/control/state/plan.go 'return s.refence(e)' 'return nil' $lease TestGrantsFitInTheResponse
mutant maxRanges internal/control/place/ranges.go 'u.ranges+more <= u.member.maxRanges' 'true' internal/control/place TestRangesAreLimited
mutant ownStatus internal/entry/broker/response.go 'if isRejection(got.Status) {' 'if false {' internal/entry/broker TestOwnStatusIsNoRejection
mutant lateReportToANewLeader $lease/report.go 'case h.reportedIn != 0 && a.Sequence > h.reportedIn || m.earlierLeasesExpired(now):' 'case true:' $lease TestLateReportToANewLeaderReleasesNothing
mutant reportBeforeRelease $lease/report.go 'h.reportedIn != 0 && ' '' $lease TestLateReportAfterSlicesCameBackReleasesNothing
mutant offeredTokens $lease/offer.go 'm.tokens.isNew(now, g.Fence) ||' 'true ||' $lease TestUnreportedGrantGetsANewToken
mutant inheritedTokens $lease/tokens.go 'old: index}' 'old: 0}' $lease TestUnreportedGrantGetsANewToken
mutant moveReport internal/control/state/state.go 'if c.Removed || !c.Slice.Moving() {' 'if false {' internal/control/state TestFencesOnlyGrow
mutant warmConnection internal/entry/sched/place.go 'cost -= warmBonus' '_ = warmBonus' internal/entry/sched TestWarmConnectionIsPreferred
echo "$survivors mutants survived"
[ "$survivors" -eq 0 ]
