package cluster

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"violetspan.example/violetspan/internal/strict"
)

// File names and modes of an identity. The key of the certificate authority (CA) is needed
// only to sign, and must not be on a serving machine.
const (
	FileCACert = "ca.crt"
	FileCAKey  = "ca.key"
	FileCert   = "member.crt"
	FileKey    = "member.key"
	// FileRevoked lists the serial numbers of revoked certificates, in hexadecimal, one
	// per line.
	FileRevoked = "revoked"

	modeSecret = 0o600
	modePublic = 0o644
)

// Validity of certificates, and maximum size of a file.
const (
	CAValidity     = 10 * 365 * 24 * time.Hour
	MemberValidity = 90 * 24 * time.Hour
	maxFileBytes   = 1 << 20
	backdate       = 5 * time.Minute // tolerates clock differences in a new installation
)

// Errors of identities. ErrInvalidIdentity reports a certificate that is not of this
// installation or has expired, or a peer that is not the member it claims to be.
var (
	ErrKeyMode         = errors.New("cluster: private key is accessible to others")
	ErrRevoked         = errors.New("cluster: revoked certificate")
	ErrInvalidIdentity = errors.New("cluster: invalid identity")
)

// CA is the certificate authority of one installation.
type CA struct {
	Installation string
	cert         *x509.Certificate
	key          crypto.Signer
}

// Identity describes the holder of a certificate. Serial is hexadecimal.
type Identity struct {
	Installation string
	Member       uint64
	Serial       string
	NotAfter     time.Time
}

func newSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
}

// NewCA creates a certificate authority and writes it to a directory. It never replaces
// existing files.
func NewCA(dir, installation string, now time.Time) (*CA, error) {
	if installation == "" || len(installation) > 64 || strings.ContainsAny(installation, "/ \t\n") {
		return nil, fmt.Errorf("cluster: invalid installation name %q", installation)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: "violetspan " + installation, Organization: []string{installation}},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(CAValidity), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	if err := createPEM(filepath.Join(dir, FileCAKey), key, nil); err != nil {
		return nil, err
	}
	if err := createPEM(filepath.Join(dir, FileCACert), nil, der); err != nil {
		return nil, err
	}
	return OpenCA(dir)
}

// createPEM writes a key or a certificate in PEM to a new file; it fails if the file exists.
func createPEM(path string, key *ecdsa.PrivateKey, cert []byte) error {
	block, mode := &pem.Block{Type: "CERTIFICATE", Bytes: cert}, fs.FileMode(modePublic)
	if key != nil {
		b, err := x509.MarshalPKCS8PrivateKey(key)
		if err != nil {
			return err
		}
		block, mode = &pem.Block{Type: "PRIVATE KEY", Bytes: b}, modeSecret
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	err = errors.Join(pem.Encode(f, block), f.Sync(), f.Close())
	if err != nil {
		return fmt.Errorf("cluster: %s: %w", path, err)
	}
	return nil
}

func readPEM(path, kind string, secret bool) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	if secret && info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%w: %s has mode %o, expected %o", ErrKeyMode, path, info.Mode().Perm(), modeSecret)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	block, _ := pem.Decode(b)
	if block == nil || block.Type != kind {
		return nil, fmt.Errorf("cluster: %s contains no %s in PEM", path, kind)
	}
	return block.Bytes, nil
}

// OpenCA reads a certificate authority with its key.
func OpenCA(dir string) (*CA, error) {
	cert, err := readCert(filepath.Join(dir, FileCACert))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, FileCAKey)
	der, err := readPEM(path, "PRIVATE KEY", true)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, fmt.Errorf("cluster: %s: %w", path, err)
	}
	key, ok := parsed.(crypto.Signer)
	if pub, same := cert.PublicKey.(*ecdsa.PublicKey); !ok || !same || !pub.Equal(key.Public()) {
		return nil, fmt.Errorf("cluster: %s is not the key of %s", path, FileCACert)
	}
	return &CA{cert.Subject.Organization[0], cert, key}, nil
}

func readCert(path string) (*x509.Certificate, error) {
	der, err := readPEM(path, "CERTIFICATE", false)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("cluster: %s: %w", path, err)
	}
	if len(c.Subject.Organization) != 1 {
		return nil, fmt.Errorf("%w: %s", ErrInvalidIdentity, path)
	}
	return c, nil
}

// Issue creates a key and a certificate for a member and writes them, with the CA's
// certificate, to a directory. Each existing file is replaced atomically, so that a running
// instance can renew its certificate.
func (ca *CA) Issue(dir string, member uint64, now time.Time) error {
	if member == 0 {
		return errors.New("cluster: invalid member number 0")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	serial, err := newSerial()
	if err != nil {
		return err
	}
	template := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: memberName(member), Organization: []string{ca.Installation}},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(MemberValidity), DNSNames: []string{memberName(member)},
		URIs:     []*url.URL{{Scheme: "violetspan", Host: ca.Installation, Path: "/member/" + strconv.FormatUint(member, 10)}},
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, key.Public(), ca.key)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	// The key and the certificate are not replaced together: Reload fails on a mismatched
	// pair, and a later one reads the matching pair.
	for _, f := range []struct {
		name string
		key  *ecdsa.PrivateKey
		cert []byte
	}{{FileCACert, nil, ca.cert.Raw}, {FileKey, key, nil}, {FileCert, nil, der}} {
		path := filepath.Join(dir, f.name)
		tmp := path + ".new"
		_ = os.Remove(tmp) // left by an interrupted Issue
		if err := createPEM(tmp, f.key, f.cert); err != nil {
			return err
		}
		if err := os.Rename(tmp, path); err != nil {
			return fmt.Errorf("cluster: %w", err)
		}
	}
	return nil
}

func memberName(member uint64) string { return "member-" + strconv.FormatUint(member, 10) }

// Credentials holds an instance's key and certificate, the CA's certificate and the
// revocation list. Reload rereads them. It is safe for concurrent use.
type Credentials struct {
	dir string

	mu           sync.Mutex // guards the fields below
	pair         *tls.Certificate
	leaf         *x509.Certificate
	roots        *x509.CertPool
	installation string
	revoked      map[string]bool
	contentHash  string
	// Now returns the wall-clock time; tests replace it.
	Now func() time.Time
}

// OpenCredentials reads the credentials in an instance's directory.
func OpenCredentials(dir string) (*Credentials, error) {
	k := &Credentials{dir: dir, Now: time.Now}
	return k, k.Reload()
}

// Reload rereads the files if they have changed. If it fails to read or parse them, the
// previous credentials stay in use.
func (k *Credentials) Reload() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	// Compares contents: two files of the same size may be written within one timestamp
	// tick of the file system.
	hash := sha256.New()
	for _, name := range []string{FileCACert, FileCert, FileKey, FileRevoked} {
		path := filepath.Join(k.dir, name)
		if info, err := os.Stat(path); err == nil {
			b, err := strict.ReadFile(path, maxFileBytes)
			_, _ = fmt.Fprint(hash, name, info.Mode(), len(b), err) // a hash never fails
			_, _ = hash.Write(b)
		}
	}
	contentHash := string(hash.Sum(nil))
	if contentHash == k.contentHash {
		return nil
	}
	ca, err := readCert(filepath.Join(k.dir, FileCACert))
	if err != nil {
		return err
	}
	if _, err := readPEM(filepath.Join(k.dir, FileKey), "PRIVATE KEY", true); err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(k.dir, FileCert), filepath.Join(k.dir, FileKey))
	if err != nil {
		return fmt.Errorf("cluster: %s: %w", k.dir, err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return fmt.Errorf("cluster: %s: %w", k.dir, err)
	}
	revoked := map[string]bool{}
	b, err := os.ReadFile(filepath.Join(k.dir, FileRevoked))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("cluster: %w", err)
	}
	for i, line := range strings.Split(string(b), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		n, ok := new(big.Int).SetString(line, 16)
		if !ok {
			return fmt.Errorf("%s:%d: key serial: %q is not hexadecimal", filepath.Join(k.dir, FileRevoked), i+1, line)
		}
		revoked[n.Text(16)] = true
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca)
	k.pair, k.leaf, k.roots, k.installation, k.revoked, k.contentHash = &pair, leaf, pool, ca.Subject.Organization[0], revoked, contentHash
	if _, err := k.identify(leaf); err != nil {
		k.contentHash = ""
		return fmt.Errorf("%s: %w", k.dir, err)
	}
	return nil
}

// Identity returns the instance's own identity.
func (k *Credentials) Identity() (Identity, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.identify(k.leaf)
}

// identify returns a certificate's identity. It rejects a certificate that is not of this
// installation, has expired or is revoked. The caller holds mu.
func (k *Credentials) identify(c *x509.Certificate) (Identity, error) {
	id := Identity{Serial: c.SerialNumber.Text(16), NotAfter: c.NotAfter}
	if _, err := c.Verify(x509.VerifyOptions{Roots: k.roots, CurrentTime: k.Now(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}); err != nil {
		return id, fmt.Errorf("%w: %w", ErrInvalidIdentity, err)
	}
	if len(c.URIs) != 1 || c.URIs[0].Scheme != "violetspan" || c.URIs[0].Host != k.installation {
		return id, fmt.Errorf("%w: certificate names no member of %s", ErrInvalidIdentity, k.installation)
	}
	n, err := strconv.ParseUint(strings.TrimPrefix(c.URIs[0].Path, "/member/"), 10, 64)
	if err != nil || n == 0 {
		return id, fmt.Errorf("%w: certificate names no member", ErrInvalidIdentity)
	}
	id.Installation, id.Member = k.installation, n
	if k.revoked[id.Serial] {
		return id, fmt.Errorf("%w: serial %s of member %d", ErrRevoked, id.Serial, n)
	}
	return id, nil
}

// verifyPeer returns the check of a connection's peer, which runs after crypto/tls has
// verified the chain. wantMember 0 accepts any member.
func (k *Credentials) verifyPeer(wantMember uint64) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return fmt.Errorf("%w: no certificate presented", ErrInvalidIdentity)
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		id, err := k.identify(s.PeerCertificates[0])
		if err == nil && wantMember != 0 && id.Member != wantMember {
			err = fmt.Errorf("%w: connected to member %d instead of %d", ErrInvalidIdentity, id.Member, wantMember)
		}
		return err
	}
}

// PeerIdentity returns the peer's identity on a connection whose handshake has completed.
func (k *Credentials) PeerIdentity(s tls.ConnectionState) (Identity, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.identify(s.PeerCertificates[0])
}

// ServerConfig returns the TLS configuration of a listener. Each connection uses the
// current credentials.
func (k *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		k.mu.Lock()
		defer k.mu.Unlock()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*k.pair}, ClientCAs: k.roots,
			ClientAuth: tls.RequireAndVerifyClientCert, VerifyConnection: k.verifyPeer(0), SessionTicketsDisabled: true, Time: k.Now}, nil
	}}
}

// ClientConfig returns the TLS configuration of a connection to a member.
func (k *Credentials) ClientConfig(member uint64) *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*k.pair}, RootCAs: k.roots,
		ServerName: memberName(member), VerifyConnection: k.verifyPeer(member), Time: k.Now}
}

// Revoke adds a serial number to the revocation list in a member's directory. A running
// member rereads the list within ten leases.
func Revoke(dir, serial string) error {
	n, ok := new(big.Int).SetString(serial, 16)
	if !ok || n.Sign() <= 0 {
		return fmt.Errorf("cluster: serial %q is not hexadecimal", serial)
	}
	path := filepath.Join(dir, FileRevoked)
	b, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("cluster: %w", err)
	}
	if len(b) > 0 && b[len(b)-1] != '\n' {
		b = append(b, '\n')
	}
	tmp := path + ".new"
	if err := os.WriteFile(tmp, append(b, n.Text(16)+"\n"...), modeSecret); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	if err := os.Rename(tmp, path); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}
