// Package keys loads TLS certificates, private keys and certificate authorities
// from PEM files, checks them, and reloads files that change while the program
// runs. It builds the TLS configurations of servers and clients from them.
//
// It also generates certificates and VAPID keys for tests and for trying the
// program out.
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
	"io"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// CertStore holds the certificates and authorities of a program and reloads their files
// when they change.
type CertStore struct {
	// Report, if set, is called when a certificate was first loaded, and after each
	// attempt to reload a file: with the expiry of the certificate in use (zero for a
	// file of authorities) and the error if the file was rejected. After an error the
	// previous content stays in use.
	Report func(file string, expires time.Time, err error)

	mu    sync.Mutex
	pairs []*KeyPair
	pools []*CAPool
}

// KeyPair is a certificate with its private key.
type KeyPair struct {
	CertFile, KeyFile string
	cert              atomic.Pointer[tls.Certificate]
	versions          [2]fileVersion // of CertFile and KeyFile, when last loaded
	readErrorReported bool           // the current failure to read a file was reported
}

// CAPool is a file of certificate authorities.
type CAPool struct {
	File    string
	pool    atomic.Pointer[x509.CertPool]
	version fileVersion

	readErrorReported bool // the current failure to read the file was reported
}

// fileVersion identifies a version of a file's content by its size, modification
// time and inode.
type fileVersion struct {
	size int64
	at   time.Time
	node os.FileInfo
}

// accessByOthers are the bits of a file's mode that grant access to others.
const accessByOthers = 0o007

func versionOf(file string) (fileVersion, error) {
	st, err := os.Stat(file)
	if err != nil {
		return fileVersion{}, err
	}
	return fileVersion{st.Size(), st.ModTime(), st}, nil
}

// readFile reads a file, and returns the version that was read and the file's mode.
func readFile(name string) (content []byte, version fileVersion, mode os.FileMode, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fileVersion{}, 0, err
	}
	defer file.Close()
	st, err := file.Stat()
	if err != nil {
		return nil, fileVersion{}, 0, err
	}
	content, err = io.ReadAll(file)
	return content, fileVersion{st.Size(), st.ModTime(), st}, st.Mode().Perm(), err
}

// equal reports whether s and o identify the same version. It is false if either is
// zero.
func (s fileVersion) equal(o fileVersion) bool {
	return s.size == o.size && s.at.Equal(o.at) && s.node != nil && o.node != nil && os.SameFile(s.node, o.node)
}

// LoadPair loads a certificate and its private key, once for each pair of files. It is
// an error if they do not match, if the certificate is not valid now, or if the key
// file's mode grants any access to others.
func (r *CertStore) LoadPair(certFile, keyFile string) (*KeyPair, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		if p.CertFile == certFile && p.KeyFile == keyFile {
			return p, nil
		}
	}
	p := &KeyPair{CertFile: certFile, KeyFile: keyFile}
	if err := p.load(time.Now()); err != nil {
		return nil, err
	}
	r.pairs = append(r.pairs, p)
	r.report(certFile, p.Expires(), nil)
	return p, nil
}

// LoadPool loads a file of certificate authorities.
func (r *CertStore) LoadPool(file string) (*CAPool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &CAPool{File: file}
	if err := p.load(); err != nil {
		return nil, err
	}
	r.pools = append(r.pools, p)
	return p, nil
}

func (r *CertStore) report(file string, expires time.Time, err error) {
	if r.Report != nil {
		r.Report(file, expires, err)
	}
}

// Cert returns the certificate in use.
func (p *KeyPair) Cert() *tls.Certificate { return p.cert.Load() }

// Expires returns when the certificate in use expires.
func (p *KeyPair) Expires() time.Time { return p.Cert().Leaf.NotAfter }

// CertPool returns the set of authorities in use.
func (p *CAPool) CertPool() *x509.CertPool { return p.pool.Load() }

// load reads, checks and puts into use the certificate and key; after an error the
// previous ones stay in use.
func (p *KeyPair) load(now time.Time) error {
	certText, certVersion, _, err := readFile(p.CertFile)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	keyText, keyVersion, mode, err := readFile(p.KeyFile)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if mode&accessByOthers != 0 {
		return fmt.Errorf("keys: private key %s is accessible to others (mode %04o), run chmod 600 on it",
			p.KeyFile, mode)
	}
	cert, err := tls.X509KeyPair(certText, keyText)
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
	p.versions = [2]fileVersion{certVersion, keyVersion}
	return nil
}

func (p *CAPool) load() error {
	text, version, _, err := readFile(p.File)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return fmt.Errorf("keys: %s contains no PEM certificate", p.File)
	}
	p.pool.Store(pool)
	p.version = version
	return nil
}

// checkInterval is the interval at which files are checked for changes.
const checkInterval = time.Second

// Run reloads files that change until ctx ends. Established connections keep the
// certificate that they were opened with. A file whose content is rejected is reported
// once and tried again when it changes, one that can't be read is reported once and tried
// again at the next check; until then the old content stays in use.
func (r *CertStore) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.ReloadChanged(now)
		}
	}
}

// ReloadChanged checks all files once and reloads those that have changed since they were
// last loaded.
func (r *CertStore) ReloadChanged(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		changed, err := p.reloadChanged(now)
		r.reportReload(p.CertFile, p.Expires(), changed, err, &p.readErrorReported)
	}
	for _, p := range r.pools {
		changed, err := p.reloadChanged()
		r.reportReload(p.File, time.Time{}, changed, err, &p.readErrorReported)
	}
}

// reportReload reports an attempt to reload a file. Of failures to read it in a row, only the first is reported.
func (r *CertStore) reportReload(file string, expires time.Time, changed bool, err error, readErrorReported *bool) {
	repeated := isReadError(err) && *readErrorReported
	if (changed || err != nil) && !repeated {
		r.report(file, expires, err)
	}
	*readErrorReported = isReadError(err)
}

// isReadError reports whether an error means that a file could not be read, whatever its content.
func isReadError(err error) bool {
	var pathError *fs.PathError
	return errors.As(err, &pathError)
}

// reloadChanged reloads the files if one has changed, and reports whether it has. Files that are rejected for
// their content are not tried again until they change; files that can't be read are.
func (p *KeyPair) reloadChanged(now time.Time) (changed bool, err error) {
	cert, certErr := versionOf(p.CertFile)
	key, keyErr := versionOf(p.KeyFile)
	if err := errors.Join(certErr, keyErr); err != nil {
		return false, err
	}
	if cert.equal(p.versions[0]) && key.equal(p.versions[1]) {
		return false, nil
	}
	if err = p.load(now); err != nil && !isReadError(err) {
		p.versions = [2]fileVersion{cert, key}
	}
	return true, err
}

// reloadChanged does the same for a file of authorities. A file that is missing isn't an error.
func (p *CAPool) reloadChanged() (changed bool, err error) {
	current, err := versionOf(p.File)
	if err != nil || current.equal(p.version) {
		return false, nil
	}
	if err = p.load(); err != nil && !isReadError(err) {
		p.version = current
	}
	return true, err
}

// Server returns a server configuration, of TLS 1.2 or later, that presents the
// pair's certificate in use. If clients is not nil, client certificates are verified
// against its authorities in use, and required if require is set.
func Server(p *KeyPair, clients *CAPool, require bool, protocols ...string) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Cert(), nil }}
	if clients == nil {
		return base
	}
	base.ClientAuth = tls.VerifyClientCertIfGiven
	if require {
		base.ClientAuth = tls.RequireAndVerifyClientCert
	}
	base.ClientCAs = clients.CertPool()
	var mu sync.Mutex
	now := base
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		mu.Lock()
		defer mu.Unlock()
		if pool := clients.CertPool(); now.ClientCAs != pool {
			// A new Config, so that session tickets issued under the old authorities are void.
			now = base.Clone()
			now.ClientCAs = pool
		}
		return now, nil
	}
	return base
}

// Client returns a function that makes the client configuration of a connection, of
// TLS 1.2 or later: with the authorities in ca (nil for the system's), the client
// certificate in own (nil for none), and a shared cache of sessions to resume.
func Client(ca *CAPool, own *KeyPair, name string) func() *tls.Config {
	cache := tls.NewLRUClientSessionCache(64)
	return func() *tls.Config {
		c := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: name, ClientSessionCache: cache,
			NextProtos: []string{"http/1.1"}}
		if ca != nil {
			c.RootCAs = ca.CertPool()
		}
		if own != nil {
			c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
				return own.Cert(), nil
			}
		}
		return c
	}
}

// Authority is a certificate authority that issues certificates for tests and for
// trying the program out.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority generates an authority whose certificate is valid from an hour ago
// until lasts from now.
func NewAuthority(name string, lasts time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lasts),
		IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert, key}, err
}

// serial returns a random certificate serial number of up to 120 bits.
func serial() *big.Int {
	n, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return n
}

// CertPool returns a set that holds only this authority.
func (a *Authority) CertPool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// Issue writes a certificate and its key to NAME.pem and NAME.key in dir. With hosts
// it is a server certificate for these names and addresses, else a client
// certificate for name.
func (a *Authority) Issue(dir, name string, from, to time.Time, hosts ...string) (certFile, keyFile string,
	err error) {
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

// Save writes the authority's certificate and key to ca.pem and ca.key in dir.
func (a *Authority) Save(dir string) error {
	if err := writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.cert.Raw, 0o644); err != nil {
		return err
	}
	return writeKey(filepath.Join(dir, "ca.key"), a.key)
}

// writeKey writes key to file in PKCS #8 form, readable by the owner only.
func writeKey(file string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writePEM(file, "PRIVATE KEY", der, 0o600)
}

// writePEM writes a temporary file and renames it, so that no reader sees a
// partially written file.
func writePEM(file, kind string, der []byte, mode os.FileMode) error {
	tmp := file + ".new"
	if err := os.WriteFile(tmp, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode); err != nil {
		return err
	}
	return os.Rename(tmp, file)
}

// NewVAPIDKeys generates a key pair for an application server (RFC 8292). public is the
// uncompressed point and private the scalar, both in base64url without padding.
func NewVAPIDKeys() (public, private string, err error) {
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
