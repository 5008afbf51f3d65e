package capeer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

type message struct {
	Text string
	At   time.Time
}

// serve runs a server until the test ends. Its calls echo the message, return an
// error or panic.
func serve(t *testing.T, config *tls.Config) string {
	t.Helper()
	server := capeer.NewServer()
	capeer.Handle(server, "echo", func(_ context.Context, m message) (message, error) { return m, nil })
	capeer.Handle(server, "refuse", func(context.Context, message) (message, error) {
		return message{}, cakind.New(cakind.KindFenced, "an old epoch")
	})
	capeer.Handle(server, "panic", func(_ context.Context, m message) (message, error) {
		return message{Text: m.Text[len(m.Text):][:1]}, nil
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(ctx, lis, config) }()
	t.Cleanup(func() {
		cancel()
		<-server.Done()
	})
	return lis.Addr().String()
}

func call(t *testing.T, config *tls.Config, address, name string, m message) (message, error) {
	t.Helper()
	client := capeer.NewClient(capeer.DialTCP, config)
	t.Cleanup(func() { _ = client.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return capeer.Call[message, message](ctx, client, address, name, m)
}

func TestCallKeepsTimesAndKinds(t *testing.T) {
	address := serve(t, nil)
	sent := message{Text: "hello", At: time.Unix(1000, 123456789).UTC()}
	got, err := call(t, nil, address, "echo", sent)
	if err != nil {
		t.Fatalf("echo: %v", err)
	}
	if diff := cmp.Diff(sent, got); diff != "" {
		t.Errorf("echo mismatch (-want +got):\n%s", diff)
	}
	_, err = call(t, nil, address, "refuse", sent)
	if diff := cmp.Diff(cakind.KindFenced, cakind.Of(err)); diff != "" {
		t.Errorf("kind of the returned error mismatch (-want +got):\n%s", diff)
	}
	_, err = call(t, nil, "127.0.0.1:1", "echo", sent)
	if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
		t.Errorf("kind of the error for a closed port mismatch (-want +got):\n%s", diff)
	}
}

// authority is a certificate authority that signs certificates for hosts.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	a.key, a.cert = a.issue(template, template, nil)
	return a
}

func (a *authority) issue(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatalf("GenerateKey: %v", err)
	}
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatalf("CreateCertificate: %v", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatalf("ParseCertificate: %v", err)
	}
	return key, cert
}

// configs returns TLS configurations of a server on the host and of a client.
func (a *authority) configs(host string) (server, client *tls.Config) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(host)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key, cert := a.issue(template, a.cert, a.key)
	certificates := []tls.Certificate{{Certificate: [][]byte{cert.Raw}, PrivateKey: key}}
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	server = &tls.Config{Certificates: certificates, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}
	return server, &tls.Config{Certificates: certificates, RootCAs: roots, MinVersion: tls.VersionTLS13}
}

func TestTLSVerifiesBothSides(t *testing.T) {
	trustedCA, untrustedCA := newAuthority(t), newAuthority(t)
	server, client := trustedCA.configs("127.0.0.1")
	address := serve(t, server)
	if _, err := call(t, client, address, "echo", message{Text: "hello"}); err != nil {
		t.Errorf("verified peer: %v", err)
	}
	_, untrustedClient := untrustedCA.configs("127.0.0.1")
	if _, err := call(t, untrustedClient, address, "echo", message{}); err == nil {
		t.Error("the server accepted a client with a certificate of an untrusted authority")
	}
	wrongHostServer, _ := trustedCA.configs("127.0.0.2")
	if _, err := call(t, client, serve(t, wrongHostServer), "echo", message{}); err == nil {
		t.Error("the client accepted a server whose certificate names another host")
	}
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func TestLongMessagesAreCompressed(t *testing.T) {
	address := serve(t, nil)
	var written atomic.Int64
	client := capeer.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := capeer.DialTCP(ctx, address)
		return countingConn{conn, &written}, err
	}, nil)
	defer func() { _ = client.Close() }()
	for _, size := range []int{0, 100, 1000, 1024, 2000, 300_000} {
		text := strings.Repeat("0123456789", size/10)
		before := written.Load()
		got, err := capeer.Call[message, message](t.Context(), client, address, "echo", message{Text: text})
		if err != nil {
			t.Fatalf("Call with %d bytes: %v", size, err)
		}
		if diff := cmp.Diff(text, got.Text); diff != "" {
			t.Errorf("answer mismatch (-want +got):\n%s", diff)
		}
		if sent := written.Load() - before; size > 2000 && sent > int64(size)/10 {
			t.Errorf("%d bytes were sent for a message of %d", sent, size)
		}
	}
}

func TestPanicFailsOnlyItsCall(t *testing.T) {
	address := serve(t, nil)
	_, err := call(t, nil, address, "panic", message{Text: "hello"})
	if diff := cmp.Diff(cakind.KindUnknown, cakind.Of(err)); diff != "" {
		t.Errorf("kind of %v (-want +got):\n%s", err, diff)
	}
	got, err := call(t, nil, address, "echo", message{Text: "still here"})
	if err != nil || got.Text != "still here" {
		t.Errorf("call after the panic: %q, %v", got.Text, err)
	}
}

// TestUnsentCallIsUnreachable covers a caller whose time is over before its message is sent,
// with and without an open connection. The error must say that nothing was sent.
func TestUnsentCallIsUnreachable(t *testing.T) {
	address := serve(t, nil)
	client := capeer.NewClient(capeer.DialTCP, nil)
	t.Cleanup(func() { _ = client.Close() })
	over, cancel := context.WithCancel(context.Background())
	cancel()
	for _, connected := range []bool{false, true} {
		if connected {
			if _, err := capeer.Call[message, message](context.Background(), client, address, "echo", message{}); err != nil {
				t.Fatal(err)
			}
		}
		_, err := capeer.Call[message, message](over, client, address, "echo", message{})
		if !capeer.IsUnreachable(err) || cakind.Of(err) != cakind.KindUnavailable {
			t.Errorf("with a connection %v: %v, want an error that says that nothing was sent", connected, err)
		}
	}
}
