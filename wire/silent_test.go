package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// listenSilent returns an address that answers no attempt to connect: its
// queue of connections has no place left.
func listenSilent(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { conn.Close() })
	}
}

func TestSilentAddressHoldsNobodyPastTheDeadline(t *testing.T) {
	client := NewClient(listenSilent(t))
	defer client.Close()
	first := make(chan error, 1)
	go func() { first <- client.Call(context.Background(), "Echo.Say", EchoArgs{}, &EchoReply{}) }()

	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		begin := time.Now()
		err := client.Call(ctx, "Echo.Say", EchoArgs{}, &EchoReply{})
		cancel()
		if took := time.Since(begin); took > dialTimeout/2 {
			t.Errorf("a call with a deadline of 10 ms took %v", took)
		}
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("error %v, want ErrNotSent", err)
		}
	}
	if err := <-first; !errors.Is(err, ErrNotSent) {
		t.Errorf("error of the first call %v, want ErrNotSent", err)
	}
}
