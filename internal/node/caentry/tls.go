package caentry

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/config/casettings"
)

// loadTLS returns the TLS configurations for the server and the client side.
// Both are nil if TLS is disabled in the settings. Each side verifies the
// certificate of the other.
func loadTLS(s casettings.TLS) (server, client *tls.Config, err error) {
	if s.Insecure {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, nil, cakind.Wrap(cakind.KindInvalid, err, "load the certificate %s and its key", s.Certificate)
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, nil, cakind.Wrap(cakind.KindInvalid, err, "load the CA certificates")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, nil, cakind.New(cakind.KindInvalid, "%s contains no certificate", s.CA)
	}
	server = &tls.Config{
		Certificates: []tls.Certificate{certificate}, ClientCAs: roots,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: roots, MinVersion: tls.VersionTLS13,
	}
	return server, client, nil
}
