package sesamestandin_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamestandin"
)

// TestFreeAddress checks that no outgoing connection can take the port of an
// address: such connections have another host.
func TestFreeAddress(t *testing.T) {
	is := is.New(t)
	address, err := sesamestandin.FreeAddress()
	is.NoErr(err)
	other, err := sesamestandin.FreeAddress()
	is.NoErr(err)
	is.True(address != other)
	listener, err := net.Listen("tcp", address)
	is.NoErr(err)
	defer listener.Close()
	connection, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer connection.Close()
	host, _, err := net.SplitHostPort(address)
	is.NoErr(err)
	source, _, err := net.SplitHostPort(connection.LocalAddr().String())
	is.NoErr(err)
	is.True(source != host)
}
