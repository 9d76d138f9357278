// Package rudderbench measures the system against baselines. Routing, admission, claims and planning run the
// system's decision code in simulations on a virtual clock with fixed seeds; configuration changes, latency
// and platform calls are measured on real entry hosts on loopback sockets.
package rudderbench
