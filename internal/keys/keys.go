// Package keys holds certificates and keys: read from files, checked, replaced
// while running, and made for tests and first steps.
package keys

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Ring holds all certificates of a program and looks after their files.
type Ring struct {
	// Report is told what happened to a file: its expiry, or why it was not
	// taken. What was in force stays in force.
	Report func(file string, expires time.Time, err error)

	mu    sync.Mutex
	pairs []*Pair
	pools []*Pool
}

// Pair is a certificate with its key.
type Pair struct {
	CertFile, KeyFile string
	cert              atomic.Pointer[tls.Certificate]
	versions          [2]fileVersion
	statErrorReported bool
}

// Pool is a file of authorities.
type Pool struct {
	File    string
	pool    atomic.Pointer[x509.CertPool]
	version fileVersion
}

// stamp tells one content of a file from the next.
type fileVersion struct {
	size int64
	at   time.Time
	node os.FileInfo
}

func versionOf(file string) (fileVersion, error) {
	st, err := os.Stat(file)
	if err != nil {
		return fileVersion{}, err
	}
	return fileVersion{st.Size(), st.ModTime(), st}, nil
}

func (s fileVersion) equal(o fileVersion) bool {
	return s.size == o.size && s.at.Equal(o.at) && s.node != nil && o.node != nil && os.SameFile(s.node, o.node)
}

// Pair reads a certificate and its key. It is an error if they do not match,
// if the certificate is not valid now, or if everybody may read the key.
func (r *Ring) Pair(certFile, keyFile string) (*Pair, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		if p.CertFile == certFile && p.KeyFile == keyFile {
			return p, nil
		}
	}
	p := &Pair{CertFile: certFile, KeyFile: keyFile}
	if err := p.load(time.Now()); err != nil {
		return nil, err
	}
	r.pairs = append(r.pairs, p)
	r.report(certFile, p.Expires(), nil)
	return p, nil
}

// Pool reads a file of authorities.
func (r *Ring) Pool(file string) (*Pool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &Pool{File: file}
	if err := p.load(); err != nil {
		return nil, err
	}
	r.pools = append(r.pools, p)
	return p, nil
}

func (r *Ring) report(file string, expires time.Time, err error) {
	if r.Report != nil {
		r.Report(file, expires, err)
	}
}

// Cert is the certificate in force.
func (p *Pair) Cert() *tls.Certificate { return p.cert.Load() }

// Expires is when the one in force ends.
func (p *Pair) Expires() time.Time { return p.Cert().Leaf.NotAfter }

// Pool is the set of authorities in force.
func (p *Pool) Pool() *x509.CertPool { return p.pool.Load() }

func (p *Pair) load(now time.Time) error {
	st, err := os.Stat(p.KeyFile)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if mode := st.Mode().Perm(); mode&0o007 != 0 {
		return fmt.Errorf("keys: %s may be read by everybody (mode %04o): chmod 600 it", p.KeyFile, mode)
	}
	cert, err := tls.LoadX509KeyPair(p.CertFile, p.KeyFile)
	if err != nil {
		return fmt.Errorf("keys: %s with %s: %w", p.CertFile, p.KeyFile, err)
	}
	if cert.Leaf == nil {
		if cert.Leaf, err = x509.ParseCertificate(cert.Certificate[0]); err != nil {
			return fmt.Errorf("keys: %s: %w", p.CertFile, err)
		}
	}
	if now.After(cert.Leaf.NotAfter) {
		return fmt.Errorf("keys: %s expired at %v", p.CertFile, cert.Leaf.NotAfter.UTC())
	}
	if now.Before(cert.Leaf.NotBefore) {
		return fmt.Errorf("keys: %s is not valid before %v", p.CertFile, cert.Leaf.NotBefore.UTC())
	}
	p.cert.Store(&cert)
	p.versions[0], _ = versionOf(p.CertFile)
	p.versions[1], _ = versionOf(p.KeyFile)
	return nil
}

func (p *Pool) load() error {
	text, err := os.ReadFile(p.File)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return fmt.Errorf("keys: %s holds no certificate in PEM", p.File)
	}
	p.pool.Store(pool)
	p.version, _ = versionOf(p.File)
	return nil
}

// look is how often files are looked at.
const checkInterval = time.Second

// Run takes replaced files into force until ctx ends. Connections that stand
// are not touched. A file that cannot be taken leaves the old one in force, is
// reported once, and is tried again when it changes.
func (r *Ring) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.Look(now)
		}
	}
}

// Look does what Run does each time.
func (r *Ring) Look(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		cert, err1 := versionOf(p.CertFile)
		key, err2 := versionOf(p.KeyFile)
		if err1 == nil && err2 == nil && cert.equal(p.versions[0]) && key.equal(p.versions[1]) {
			continue
		}
		if err := errors.Join(err1, err2); err != nil {
			if !p.statErrorReported {
				r.report(p.CertFile, p.Expires(), err)
			}
			p.statErrorReported = true
			continue
		}
		p.statErrorReported = false
		err := p.load(now)
		p.versions = [2]fileVersion{cert, key} // one that could not be taken is not tried until it changes
		r.report(p.CertFile, p.Expires(), err)
	}
	for _, p := range r.pools {
		if s, err := versionOf(p.File); err != nil || s.equal(p.version) {
			continue
		}
		err := p.load()
		p.version, _ = versionOf(p.File)
		r.report(p.File, time.Time{}, err)
	}
}

// Server is a configuration that follows the pair, and the authorities of
// clients if any: TLS 1.2 is the floor.
func Server(p *Pair, clients *Pool, require bool, protocols ...string) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Cert(), nil }}
	if clients == nil {
		return base
	}
	base.ClientAuth = tls.VerifyClientCertIfGiven
	if require {
		base.ClientAuth = tls.RequireAndVerifyClientCert
	}
	base.ClientCAs = clients.Pool()
	var mu sync.Mutex
	now := base
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		mu.Lock()
		defer mu.Unlock()
		if pool := clients.Pool(); now.ClientCAs != pool { // tickets of the old authorities end with them
			now = base.Clone()
			now.ClientCAs = pool
		}
		return now, nil
	}
	return base
}

// Client is a configuration for calls: authorities (nil for the system's), an
// own certificate (nil for none), and a cache of sessions to resume.
func Client(ca *Pool, own *Pair, name string) func() *tls.Config {
	cache := tls.NewLRUClientSessionCache(64)
	return func() *tls.Config {
		c := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: name, ClientSessionCache: cache,
			NextProtos: []string{"http/1.1"}}
		if ca != nil {
			c.RootCAs = ca.Pool()
		}
		if own != nil {
			c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return own.Cert(), nil }
		}
		return c
	}
}

// Authority makes certificates for tests and first steps.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes one that is valid from an hour ago.
func NewAuthority(name string, lasts time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lasts), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert, key}, err
}

func serial() *big.Int {
	n, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return n
}

// Pool holds the authority alone.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// Issue writes NAME.pem and NAME.key to a folder: a certificate for servers at
// the hosts, or for the client of that name without any.
func (a *Authority) Issue(dir, name string, from, to time.Time, hosts ...string) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	t := &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: name}, NotBefore: from, NotAfter: to,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	for _, h := range hosts {
		t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
		if ip := net.ParseIP(h); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else {
			t.DNSNames = append(t.DNSNames, h)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	certFile, keyFile = filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
	if err = writePEM(certFile, "CERTIFICATE", der, 0o644); err == nil {
		err = writeKey(keyFile, key)
	}
	return certFile, keyFile, err
}

// Save writes ca.pem and ca.key.
func (a *Authority) Save(dir string) error {
	if err := writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.cert.Raw, 0o644); err != nil {
		return err
	}
	return writeKey(filepath.Join(dir, "ca.key"), a.key)
}

func writeKey(file string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writePEM(file, "PRIVATE KEY", der, 0o600)
}

// writePEM replaces a file by renaming, so that no reader sees half of one.
func writePEM(file, kind string, der []byte, mode os.FileMode) error {
	tmp := file + ".new"
	if err := os.WriteFile(tmp, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode); err != nil {
		return err
	}
	return os.Rename(tmp, file)
}

// VAPID makes a key pair for application servers (RFC 8292): public as the
// uncompressed point, private as the scalar, both base64url.
func VAPID() (public, private string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	d, err := key.ECDH()
	if err != nil {
		return "", "", err
	}
	e := base64.RawURLEncoding
	return e.EncodeToString(d.PublicKey().Bytes()), e.EncodeToString(d.Bytes()), nil
}
