package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// clock is a settable clock.
type clock struct{ now time.Time }

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(AuthorityOptions{Name: "trial"})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *Authority, dir string, o IssueOptions) {
	t.Helper()
	o.Addresses = []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	p, err := a.Issue(o)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Write(dir, "vm"); err != nil {
		t.Fatal(err)
	}
}

func newReloader(t *testing.T, a *Authority, vm ident.VM, c *clock) (*Reloader, string) {
	t.Helper()
	dir := t.TempDir()
	if err := a.Pair().Write(dir, "ca"); err != nil {
		t.Fatal(err)
	}
	issue(t, a, dir, IssueOptions{VM: vm})
	r, err := NewReloader(ReloaderOptions{
		CA: CertificateFile(dir, "ca"), Certificate: CertificateFile(dir, "vm"), Key: KeyFile(dir, "vm"),
		Now: func() time.Time { return c.now },
	})
	if err != nil {
		t.Fatal(err)
	}
	return r, dir
}

// newLoopback returns the client and the server side of a TCP connection. A net.Pipe
// does not do, since writes on it block.
func newLoopback(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	clientConn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	serverConn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return clientConn, serverConn
}

// connect performs one handshake and returns the peer VM and error of each side.
func connect(t *testing.T, server, client *Reloader) (serverVM, clientVM ident.VM, clientErr, serverErr error) {
	t.Helper()
	clientConn, serverConn := newLoopback(t)
	serverConfig, err := server.ServerConfig()
	if err != nil {
		t.Fatal(err)
	}
	clientConfig, err := client.ClientConfig()
	if err != nil {
		t.Fatal(err)
	}
	s, c := tls.Server(serverConn, serverConfig), tls.Client(clientConn, clientConfig)
	done := make(chan error, 1)
	go func() {
		err := s.HandshakeContext(t.Context())
		if err != nil {
			serverConn.Close()
		}
		done <- err
	}()
	clientErr = c.HandshakeContext(t.Context())
	if clientErr == nil {
		serverVM, clientErr = PeerVM(c.ConnectionState())
	} else {
		clientConn.Close()
	}
	if serverErr = <-done; serverErr == nil {
		clientVM, serverErr = PeerVM(s.ConnectionState())
	}
	clientConn.Close()
	serverConn.Close()
	return serverVM, clientVM, clientErr, serverErr
}

func TestMutualTLSReturnsPeerVMs(t *testing.T) {
	a, c := newAuthority(t), &clock{now: time.Now()}
	server, _ := newReloader(t, a, "vm-s", c)
	client, _ := newReloader(t, a, "vm-c", c)
	serverVM, clientVM, err1, err2 := connect(t, server, client)
	if err1 != nil || err2 != nil || serverVM != "vm-s" || clientVM != "vm-c" {
		t.Fatalf("got %q %q %v %v", serverVM, clientVM, err1, err2)
	}
}

func TestClientRejectsServerOfOtherAuthority(t *testing.T) {
	c := &clock{now: time.Now()}
	server, _ := newReloader(t, newAuthority(t), "vm-s", c)
	client, _ := newReloader(t, newAuthority(t), "vm-c", c)
	_, _, clientErr, serverErr := connect(t, server, client)
	var peer *PeerError
	var unknown x509.UnknownAuthorityError
	if !errors.As(clientErr, &peer) || !errors.As(clientErr, &unknown) || serverErr == nil {
		t.Fatalf("got %v and %v", clientErr, serverErr)
	}
}

func TestServerRejectsClientOfOtherAuthority(t *testing.T) {
	c := &clock{now: time.Now()}
	a := newAuthority(t)
	server, _ := newReloader(t, a, "vm-s", c)
	client, dir := newReloader(t, newAuthority(t), "vm-c", c)
	if err := a.Pair().Write(dir, "ca"); err != nil {
		t.Fatal(err)
	}
	c.now = c.now.Add(DefaultCheckInterval)
	_, _, clientErr, serverErr := connect(t, server, client)
	// In TLS 1.3 the client's handshake ends before the server verifies the client
	// certificate, so only the server fails.
	if clientErr != nil || serverErr == nil {
		t.Fatalf("got %v and %v", clientErr, serverErr)
	}
}

func TestClientRejectsExpiredServer(t *testing.T) {
	a, c := newAuthority(t), &clock{now: time.Now()}
	server, _ := newReloader(t, a, "vm-s", c)
	client, _ := newReloader(t, a, "vm-c", c)
	c.now = c.now.Add(DefaultLifetime + time.Hour)
	_, _, err, _ := connect(t, server, client)
	var invalid x509.CertificateInvalidError
	if !errors.As(err, &invalid) || invalid.Reason != x509.Expired {
		t.Fatalf("got %v", err)
	}
}

func TestRenewedFilesAreReloaded(t *testing.T) {
	a, c := newAuthority(t), &clock{now: time.Now()}
	server, dir := newReloader(t, a, "old", c)
	client, _ := newReloader(t, a, "vm-c", c)
	checkServerVM := func(want ident.VM) {
		t.Helper()
		if got, _, err, _ := connect(t, server, client); err != nil || got != want {
			t.Fatalf("server VM %q, error %v, want %q", got, err, want)
		}
	}
	issue(t, a, dir, IssueOptions{VM: "newer"})
	checkServerVM("old") // CheckInterval has not passed yet.
	c.now = c.now.Add(DefaultCheckInterval)
	checkServerVM("newer")

	key, err := os.ReadFile(KeyFile(dir, "vm"))
	if err != nil {
		t.Fatal(err)
	}
	issue(t, a, dir, IssueOptions{VM: "newest one"})
	renewed, err := os.ReadFile(KeyFile(dir, "vm"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(KeyFile(dir, "vm"), key, keyMode); err != nil {
		t.Fatal(err)
	}
	c.now = c.now.Add(DefaultCheckInterval)
	checkServerVM("newer") // Certificate and key don't match.
	if err := os.WriteFile(KeyFile(dir, "vm"), renewed, keyMode); err != nil {
		t.Fatal(err)
	}
	c.now = c.now.Add(DefaultCheckInterval)
	checkServerVM("newest one")
}

func TestAuthorityWriteAndParse(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	if err := a.Pair().Write(dir, "ca"); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(KeyFile(dir, "ca")); err != nil || info.Mode().Perm() != keyMode {
		t.Fatalf("got %v %v", info, err)
	}
	p, err := ReadPair(dir, "ca")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseAuthority(p); err != nil {
		t.Fatal(err)
	}
	p.Key = newAuthority(t).Pair().Key
	var invalid *PEMError
	if _, err := ParseAuthority(p); !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	for _, vm := range []ident.VM{"", "..", "a/b"} {
		var nameErr *NameError
		if _, err := a.Issue(IssueOptions{VM: vm}); !errors.As(err, &nameErr) {
			t.Errorf("%q: got %v", vm, err)
		}
	}
}
