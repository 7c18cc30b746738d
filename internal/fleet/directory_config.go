package fleet

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

// SetConfig puts a configuration in force. It returns false and changes nothing
// if the same or a newer version is in force.
func (d *Directory) SetConfig(c *Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if current := d.config.Load(); current != nil && current.Version >= c.Version {
		return false
	}
	workspaces := c.Workspaces
	if workspaces == nil {
		workspaces = workspace.OpenSet(c.Version)
	}
	d.setWorkspaces(workspaces)
	d.config.Store(c)
	return true
}

// SetWorkspaces takes in the workspaces of a configuration that another router has read. It
// returns false and changes nothing if those of the same or a newer one are known.
func (d *Directory) SetWorkspaces(set *workspace.Set) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.setWorkspaces(set)
}

func (d *Directory) setWorkspaces(set *workspace.Set) bool {
	known := d.workspaces.Load()
	newest := workspace.Newer(known, set)
	d.workspaces.Store(newest)
	return newest != known
}

// ConfigReadAt returns when this router last read the configuration, the zero time before the
// first read.
func (d *Directory) ConfigReadAt() time.Time {
	if at := d.configRead.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
