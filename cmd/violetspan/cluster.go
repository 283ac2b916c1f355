package main

import (
	"fmt"
	"time"

	"violetspan.example/violetspan/internal/cluster"
)

type clusterCmd struct {
	Init clusterInitCmd `cmd:"" help:"Make an installation's authority, and member 1's key and certificate."`
	Join clusterJoinCmd `cmd:"" help:"Make a member's key and certificate, or renew them; the authority's key is needed."`
	CA   clusterCACmd   `cmd:"" name:"ca" help:"Look at identities, and revoke them."`
}

type clusterInitCmd struct {
	Installation string `arg:"" help:"Name of the installation: letters and digits."`
	CA           string `help:"Folder of the authority; keep it off the serving machines." required:"" type:"path" placeholder:"DIR"`
	Dir          string `help:"Folder of member 1's files." required:"" type:"path" placeholder:"DIR"`
}

func (c *clusterInitCmd) Run() error {
	ca, err := cluster.NewCA(c.CA, c.Installation, time.Now())
	if err != nil {
		return err
	}
	if err := ca.Issue(c.Dir, 1, time.Now()); err != nil {
		return err
	}
	return show(c.Dir)
}

type clusterJoinCmd struct {
	Member uint64 `arg:"" help:"The member's number, from 1."`
	CA     string `help:"Folder of the authority." required:"" type:"existingdir" placeholder:"DIR"`
	Dir    string `help:"Folder of the member's files." required:"" type:"path" placeholder:"DIR"`
}

func (c *clusterJoinCmd) Run() error {
	ca, err := cluster.OpenCA(c.CA)
	if err != nil {
		return err
	}
	if err := ca.Issue(c.Dir, c.Member, time.Now()); err != nil {
		return err
	}
	return show(c.Dir)
}

type clusterCACmd struct {
	Show   clusterShowCmd   `cmd:"" help:"Say whose files a folder holds, and until when they count."`
	Revoke clusterRevokeCmd `cmd:"" help:"Have a member refuse a certificate from now on; say it to each member."`
}

type clusterShowCmd struct {
	Dir string `arg:"" help:"Folder of a member's files." type:"existingdir"`
}

func (c *clusterShowCmd) Run() error { return show(c.Dir) }

type clusterRevokeCmd struct {
	Dir    string `arg:"" help:"Folder of the files of the member that is to refuse it." type:"existingdir"`
	Serial string `arg:"" help:"Serial number, in hexadecimal, as 'ca show' prints it."`
}

func (c *clusterRevokeCmd) Run() error { return cluster.Revoke(c.Dir, c.Serial) }

func show(dir string) error {
	k, err := cluster.OpenCredentials(dir)
	if err != nil {
		return err
	}
	id, err := k.Identity()
	if err != nil {
		return err
	}
	fmt.Printf("%s: member %d of %s, serial %s, until %s\n", dir, id.Member, id.Installation, id.Serial, id.NotAfter.UTC().Format(time.RFC3339))
	return nil
}
