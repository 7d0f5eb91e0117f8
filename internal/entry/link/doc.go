// Package link decides which requests may use a host's network link, and when. Large responses are paced and start only if they can
// finish in time, so that small ones do not wait behind them; other requests are rejected while the link's queue would take too much
// of their objective. The decisions read no clock and take no lock; Link is the driver that counts the bytes of connections.
package link
