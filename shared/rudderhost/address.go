package rudderhost

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
)

// maxHostNameBytes is the length of the longest host name of the DNS, in bytes.
const maxHostNameBytes = 253

// ValidAddress reports whether a text is the address of a server: an IP address or a host name, and a port.
func ValidAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return false
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		return !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == ""
	}
	return host != "" && len(host) <= maxHostNameBytes && !strings.ContainsFunc(host, func(r rune) bool { return !hostNameRune(r) })
}

func hostNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '.' || r == '_'
}
