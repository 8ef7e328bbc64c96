// Package engine runs attempts on external engines and services. Code that
// depends on the kind of engine uses a type switch over Engine.
package engine

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Engine is one of Model, Order and Plain.
type Engine interface {
	sealed()
	// Info returns the description of the engine for announcements.
	Info() *wire.EngineInfo
}

// Model is an inference engine with continuous batching that streams events.
type Model struct {
	Name   string
	URL    string
	Models []string
}

// Order is an order-desk or stock engine; its calls may be non-idempotent.
type Order struct {
	Name    string
	URL     string
	Service string
}

// Plain is an HTTP service without engine features; requests are proxied to it.
type Plain struct {
	Name    string
	URL     string
	Service string
}

func (Model) sealed() {}
func (Order) sealed() {}
func (Plain) sealed() {}

// Info returns the description of the engine for announcements.
func (model Model) Info() *wire.EngineInfo {
	return &wire.EngineInfo{Name: model.Name, Kind: wire.Kind_KIND_MODEL, Models: model.Models}
}

// Info returns the description of the engine for announcements.
func (order Order) Info() *wire.EngineInfo {
	return &wire.EngineInfo{Name: order.Name, Kind: wire.Kind_KIND_ORDER, Service: order.Service}
}

// Info returns the description of the engine for announcements.
func (plain Plain) Info() *wire.EngineInfo {
	return &wire.EngineInfo{Name: plain.Name, Kind: wire.Kind_KIND_PLAIN, Service: plain.Service}
}

// URL returns the base URL of an engine.
func URL(target Engine) string {
	switch target := target.(type) {
	case Model:
		return target.URL
	case Order:
		return target.URL
	case Plain:
		return target.URL
	}
	return ""
}

// Parse parses an engine setting: kind,name,http://IP:port,model or service[,model...].
func Parse(text string) (Engine, error) {
	parts := strings.Split(text, ",")
	if len(parts) < 4 {
		return nil, errors.Newf("engine %q: want kind,name,http://IP:port and a model or service", text)
	}
	kind, name, url, rest := parts[0], parts[1], strings.TrimSuffix(parts[2], "/"), parts[3:]
	if !strings.HasPrefix(url, "http://") {
		return nil, errors.Newf("engine %q: address %q does not start with http://", text, url)
	}
	switch kind {
	case "model":
		return Model{Name: name, URL: url, Models: rest}, nil
	case "order":
		return Order{Name: name, URL: url, Service: rest[0]}, nil
	case "plain":
		return Plain{Name: name, URL: url, Service: rest[0]}, nil
	}
	return nil, errors.Newf("engine %q: kind %q is not model, order or plain", text, kind)
}
