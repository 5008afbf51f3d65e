package caclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cli/caclient"
	"celeryarch.example/celeryarch/internal/node/caapi"
)

// An overloaded entry tells the client how long to wait before a retry.
func ExampleClient_Submit() {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusTooManyRequests)
		_ = json.NewEncoder(w).Encode(cakind.ErrorBody{Kind: cakind.KindOverloaded, Message: "the queue is full"})
	}))
	defer entry.Close()
	client := caclient.Client{BaseURL: entry.URL, Key: "cak_example"}
	_, err := client.Submit(context.Background(), caapi.SubmitRequest{Kind: cawork.WorkKindBatch, Tasks: 1}, "")
	fmt.Println(cakind.Of(err), err, cakind.RetryAfterOf(err))
	// Output: overloaded the queue is full 3s
}
