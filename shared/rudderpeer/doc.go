// Package rudderpeer is the protocol between entry hosts: twirp services, each in its own proto
// file with committed generated code, and the authentication of peers.
package rudderpeer
