// Package group runs a control host: one replica of the control group, which agrees by Raft on the configuration and on
// which upstream owns which slice of keys.
//
// The package connects the consensus core to the disk, the network and the clock. While its host is the leader, it also
// renews the leases of entry hosts and upstreams, assigns slices to upstreams, and answers operators' calls.
//
// All state of a host belongs to the goroutine of Group.Run, called the loop. Methods whose names end in InLoop, and
// methods that the loop calls, must run there; other goroutines submit functions to it with Group.do.
package group
