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

// Names of the files of an identity, and their modes. The authority's key is needed to
// sign only, and belongs on no serving machine.
const (
	FileCACert = "ca.crt"
	FileCAKey  = "ca.key"
	FileCert   = "member.crt"
	FileKey    = "member.key"
	// FileRevoked lists serial numbers of certificates that count no more, in
	// hexadecimal, one a line.
	FileRevoked = "revoked"

	modeSecret = 0o600
	modePublic = 0o644
)

// Validity of certificates.
const (
	CAValidity     = 10 * 365 * 24 * time.Hour
	MemberValidity = 90 * 24 * time.Hour
	maxFileBytes   = 1 << 20
	backdate       = 5 * time.Minute // clocks of a new installation may differ by so much
)

// Errors of identities.
var (
	ErrKeyMode         = errors.New("cluster: a key that others can read")
	ErrRevoked         = errors.New("cluster: a certificate that was revoked")
	ErrInvalidIdentity = errors.New("cluster: a certificate that is not of this installation")
)

// CA is the authority of one installation.
type CA struct {
	Installation string
	cert         *x509.Certificate
	key          crypto.Signer
}

// Identity is what a certificate says of its holder.
type Identity struct {
	Installation string
	Member       uint64
	Serial       string
	NotAfter     time.Time
}

func newSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
}

// NewCA makes an authority and writes it into a folder; files that are there are never
// replaced.
func NewCA(dir, installation string, now time.Time) (*CA, error) {
	if installation == "" || len(installation) > 64 || strings.ContainsAny(installation, "/ \t\n") {
		return nil, fmt.Errorf("cluster: installation %q is no plain name", installation)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	n, err := newSerial()
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{SerialNumber: n, Subject: pkix.Name{CommonName: "violetspan " + installation, Organization: []string{installation}},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(CAValidity), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
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

// createPEM writes a key or a certificate in PEM into a file that must not be there.
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
	st, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	if secret && st.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%w: %s has mode %o, want %o", ErrKeyMode, path, st.Mode().Perm(), modeSecret)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	block, _ := pem.Decode(b)
	if block == nil || block.Type != kind {
		return nil, fmt.Errorf("cluster: %s holds no %s in PEM", path, kind)
	}
	return block.Bytes, nil
}

// OpenCA reads an authority with its key.
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
	k, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, fmt.Errorf("cluster: %s: %w", path, err)
	}
	key, ok := k.(crypto.Signer)
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

// Issue makes a key and a certificate for a member and writes them, with the
// authority's certificate, into a folder. A certificate that is there is replaced, in
// one step each, so that a running instance renews its own under way.
func (ca *CA) Issue(dir string, member uint64, now time.Time) error {
	if member == 0 {
		return errors.New("cluster: member 0 can't be")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	n, err := newSerial()
	if err != nil {
		return err
	}
	t := &x509.Certificate{SerialNumber: n, Subject: pkix.Name{CommonName: memberName(member), Organization: []string{ca.Installation}},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(MemberValidity), DNSNames: []string{memberName(member)},
		URIs:     []*url.URL{{Scheme: "violetspan", Host: ca.Installation, Path: "/member/" + strconv.FormatUint(member, 10)}},
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, t, ca.cert, key.Public(), ca.key)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	// The pair in one file would be one step; two files are read until they fit.
	for _, f := range []struct {
		name string
		key  *ecdsa.PrivateKey
		cert []byte
	}{{FileCACert, nil, ca.cert.Raw}, {FileKey, key, nil}, {FileCert, nil, der}} {
		path := filepath.Join(dir, f.name)
		tmp := path + ".new"
		_ = os.Remove(tmp) // of an issue that was broken off
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

// Credentials are an instance's key and certificate, reread when their files change.
type Credentials struct {
	dir string

	mu           sync.Mutex // guards all below
	pair         *tls.Certificate
	leaf         *x509.Certificate
	roots        *x509.CertPool
	installation string
	revoked      map[string]bool
	contentHash  string
	// Now is the wall clock; tests replace it.
	Now func() time.Time
}

// OpenCredentials reads an instance's files.
func OpenCredentials(dir string) (*Credentials, error) {
	k := &Credentials{dir: dir, Now: time.Now}
	return k, k.Reload()
}

// Reload reads the files anew if they have changed; with an error what was read before
// counts on.
func (k *Credentials) Reload() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	// By content: two files of one size may be written within one tick of a file system.
	hash := sha256.New()
	for _, name := range []string{FileCACert, FileCert, FileKey, FileRevoked} {
		path := filepath.Join(k.dir, name)
		if st, err := os.Stat(path); err == nil {
			b, err := strict.ReadFile(path, maxFileBytes)
			_, _ = fmt.Fprint(hash, name, st.Mode(), len(b), err) // a hash takes every write
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

// Identity is the instance's own.
func (k *Credentials) Identity() (Identity, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.identify(k.leaf)
}

// identify reads a certificate's identity, and refuses one that is not of this
// installation, is past its time or was revoked. The lock is held.
func (k *Credentials) identify(c *x509.Certificate) (Identity, error) {
	id := Identity{Serial: c.SerialNumber.Text(16), NotAfter: c.NotAfter}
	if _, err := c.Verify(x509.VerifyOptions{Roots: k.roots, CurrentTime: k.Now(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}); err != nil {
		return id, fmt.Errorf("%w: %w", ErrInvalidIdentity, err)
	}
	if len(c.URIs) != 1 || c.URIs[0].Scheme != "violetspan" || c.URIs[0].Host != k.installation {
		return id, fmt.Errorf("%w: it names no member of %s", ErrInvalidIdentity, k.installation)
	}
	n, err := strconv.ParseUint(strings.TrimPrefix(c.URIs[0].Path, "/member/"), 10, 64)
	if err != nil || n == 0 {
		return id, fmt.Errorf("%w: it names no member", ErrInvalidIdentity)
	}
	id.Installation, id.Member = k.installation, n
	if k.revoked[id.Serial] {
		return id, fmt.Errorf("%w: serial %s of member %d", ErrRevoked, id.Serial, n)
	}
	return id, nil
}

// verifyPeer is asked for each connection, after the library has verified the chain.
func (k *Credentials) verifyPeer(wantMember uint64) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return fmt.Errorf("%w: none was shown", ErrInvalidIdentity)
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		id, err := k.identify(s.PeerCertificates[0])
		if err == nil && wantMember != 0 && id.Member != wantMember {
			err = fmt.Errorf("%w: member %d answers in place of %d", ErrInvalidIdentity, id.Member, wantMember)
		}
		return err
	}
}

// PeerIdentity returns who is at the other end of a connection that was checked.
func (k *Credentials) PeerIdentity(s tls.ConnectionState) (Identity, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.identify(s.PeerCertificates[0])
}

// ServerConfig is the configuration of a listener; each connection takes the present files.
func (k *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		k.mu.Lock()
		defer k.mu.Unlock()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*k.pair}, ClientCAs: k.roots,
			ClientAuth: tls.RequireAndVerifyClientCert, VerifyConnection: k.verifyPeer(0), SessionTicketsDisabled: true, Time: k.Now}, nil
	}}
}

// ClientConfig is the configuration of a connection to a member.
func (k *Credentials) ClientConfig(member uint64) *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*k.pair}, RootCAs: k.roots,
		ServerName: memberName(member), VerifyConnection: k.verifyPeer(member), Time: k.Now}
}

// Revoke adds a serial number to those that a member refuses. A running one rereads
// the list within ten leases.
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
