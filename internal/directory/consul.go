package directory

import (
	"context"

	"basaltcross.example/basaltcross/internal/catalog"
	"basaltcross.example/basaltcross/internal/member"
)

// Consul is a Source that follows one service of a Consul catalogue.
type Consul struct {
	Name      string
	CatalogID string // identifies the catalogue: address, data centre, namespace and partition
	Client    *catalog.Client
	Mapping   catalog.Mapping
}

// Settings returns the settings of the source.
func (c *Consul) Settings() member.SourceSettings {
	return member.SourceSettings{Name: c.Name, UseHealth: c.Mapping.UseHealth && !c.Mapping.CatalogOnly}
}

// Origin names the catalogue and the service.
func (c *Consul) Origin() string { return c.CatalogID + "/" + c.Mapping.Service }

// Follow watches the service until ctx ends.
func (c *Consul) Follow(ctx context.Context, to Receiver) {
	c.Client.Follow(ctx, c.Mapping, catalog.Handlers{OnReport: to.Report, OnAnswer: to.ReportAlive,
		OnError: to.ReportError})
}
