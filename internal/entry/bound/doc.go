// Package bound limits how many bytes are read from a peer.
package bound
