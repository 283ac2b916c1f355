// Command toycall places one call through violetspan's call API and prints the messages
// sent and received until the call ends.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"net/http"
	"strings"
	"time"

	"github.com/coder/websocket"
)

func main() {
	log.SetFlags(0)
	url := flag.String("url", "ws://127.0.0.1:8470/v1/calls", "URL of the call API")
	token := flag.String("token", "", "bearer token of the tenant")
	class := flag.String("class", "space-check", "class of call")
	number := flag.String("number", "4711", "called number")
	dest := flag.Int("dest", 1, "destination exchange")
	flag.Parse()

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, *url, &websocket.DialOptions{
		Subprotocols: []string{"violetspan.calls.v1"}, HTTPHeader: http.Header{"Authorization": {"Bearer " + *token}}})
	if err != nil {
		if resp != nil {
			log.Fatalf("refused: %s", resp.Status)
		}
		log.Fatal(err)
	}
	defer conn.CloseNow()
	setup := fmt.Appendf(nil, `{"type":"setup","call":"toy-%d","class":%q,"number":%q,"dest":%d,"wait_ms":3000}`,
		time.Now().UnixNano(), *class, *number, *dest)
	fmt.Printf("> %s\n", setup)
	if err := conn.Write(ctx, websocket.MessageText, setup); err != nil {
		log.Fatal(err)
	}
	for {
		_, reply, err := conn.Read(ctx)
		if err != nil {
			log.Fatal(err)
		}
		fmt.Printf("< %s\n", reply)
		if !strings.HasPrefix(string(reply), `{"type":"answer"`) {
			return // the call was not answered, or it has ended
		}
	}
}
