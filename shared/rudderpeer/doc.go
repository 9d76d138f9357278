// Package rudderpeer defines the protocol between entry hosts: Twirp services, each in its own proto file with
// committed generated code, and the authentication of peers.
//
// Requests are signed with a shared secret. Responses are not signed: the peer network is trusted to deliver them from
// the dialled address.
package rudderpeer
