// Package rudderadmin holds the wire types of the admin API and its client.
package rudderadmin
