package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"violetspan.example/violetspan/internal/config"
	"violetspan.example/violetspan/internal/sig"
)

// maxBytesPerUnfinishedRequest is what a connection may take that has sent a part of a request: a quarter of
// a platform's 192 MB for 400 of them.
const maxBytesPerUnfinishedRequest = 48 << 20 / 400

// Guards against clients that fill the memory with requests they don't finish: half of a large message, or
// a head of very many short fields.
func TestUnfinishedRequestsTakeLittleMemory(t *testing.T) {
	const conns = 200
	headOf := func(size int) []byte {
		head := bytes.NewBufferString("GET /v1/calls HTTP/1.1\r\nHost: a\r\n")
		for i := 0; head.Len() < size; i++ {
			fmt.Fprintf(head, "%x:\r\n", i+256)
		}
		return head.Bytes()
	}
	large, err := (&sig.Message{Type: sig.SetUp, Call: 1, Params: []sig.Param{{Code: sig.ParamDescription, Value: make([]byte, 15<<10)}}}).Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	shortFields := append([]byte{0x3f, 0xf0, byte(sig.SetUp)}, make([]byte, 8)...)
	shortFields = append(shortFields, bytes.Repeat([]byte{1, 0, 0}, 5000)...)
	for name, c := range map[string]struct {
		api  bool
		sent []byte
	}{
		"platform, half a large message":        {false, large[:len(large)/2]},
		"platform, many short fields":           {false, shortFields},
		"call API, a head of many short fields": {true, headOf(19 << 10)},
		"call API, a head within the limit":     {true, headOf(maxHeaderBytes + 3800)},
		"call API, a long field":                {true, append([]byte("GET /v1/calls HTTP/1.1\r\nHost: a\r\nX: "), bytes.Repeat([]byte("x"), 15<<10)...)},
	} {
		t.Run(name, func(t *testing.T) {
			s := startWith(t, "\ns1", settingsJSON, func(serviceConfig *config.Service) { serviceConfig.MaxConns = conns })
			addr := s.proxy.CallAddr
			if c.api {
				addr = s.proxy.APIAddr
			}
			before := heapInUse()
			for range conns {
				conn, err := net.Dial("tcp", addr.String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if _, err := io.Copy(conn, bytes.NewReader(c.sent)); err != nil {
					t.Log(err) // the proxy may refuse it before its end
				}
			}
			time.Sleep(500 * time.Millisecond) // less than the limit on a request
			perConn := (heapInUse() - before) / conns
			t.Logf("%d bytes a connection", perConn)
			if perConn > maxBytesPerUnfinishedRequest {
				t.Errorf("%d bytes a connection, %d are allowed", perConn, maxBytesPerUnfinishedRequest)
			}
		})
	}
}

// heapInUse returns the size of live objects, in bytes.
func heapInUse() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
