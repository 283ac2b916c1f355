package main

import (
	"fmt"
	"time"

	"violetspan.example/violetspan/internal/cluster"
)

type clusterCmd struct {
	Init clusterInitCmd `cmd:"" help:"Create an installation's certificate authority, and the key and certificate of member 1."`
	Join clusterJoinCmd `cmd:"" help:"Issue or renew a member's key and certificate; requires the authority's key."`
	CA   clusterCACmd   `cmd:"" name:"ca" help:"Show and revoke identities."`
}

type clusterInitCmd struct {
	Installation string `arg:"" help:"Name of the installation: letters and digits."`
	CA           string `help:"Directory of the certificate authority; keep it off the serving machines." required:"" type:"path" placeholder:"DIR"`
	Dir          string `help:"Directory of member 1's files." required:"" type:"path" placeholder:"DIR"`
}

func (c *clusterInitCmd) Run() error {
	ca, err := cluster.NewCA(c.CA, c.Installation, time.Now())
	if err != nil {
		return err
	}
	if err := ca.Issue(c.Dir, 1, time.Now()); err != nil {
		return err
	}
	return printIdentity(c.Dir)
}

type clusterJoinCmd struct {
	Member uint64 `arg:"" help:"Number of the member, starting at 1."`
	CA     string `help:"Directory of the certificate authority." required:"" type:"existingdir" placeholder:"DIR"`
	Dir    string `help:"Directory of the member's files." required:"" type:"path" placeholder:"DIR"`
}

func (c *clusterJoinCmd) Run() error {
	ca, err := cluster.OpenCA(c.CA)
	if err != nil {
		return err
	}
	if err := ca.Issue(c.Dir, c.Member, time.Now()); err != nil {
		return err
	}
	return printIdentity(c.Dir)
}

type clusterCACmd struct {
	Show   clusterShowCmd   `cmd:"" help:"Print the identity in a directory and when it expires."`
	Revoke clusterRevokeCmd `cmd:"" help:"Make one member refuse a certificate from now on; run it for each member."`
}

type clusterShowCmd struct {
	Dir string `arg:"" help:"Directory of a member's files." type:"existingdir"`
}

func (c *clusterShowCmd) Run() error { return printIdentity(c.Dir) }

type clusterRevokeCmd struct {
	Dir    string `arg:"" help:"Directory of the files of the member that must refuse the certificate." type:"existingdir"`
	Serial string `arg:"" help:"Serial number in hexadecimal, as printed by 'ca show'."`
}

func (c *clusterRevokeCmd) Run() error { return cluster.Revoke(c.Dir, c.Serial) }

func printIdentity(dir string) error {
	credentials, err := cluster.OpenCredentials(dir)
	if err != nil {
		return err
	}
	id, err := credentials.Identity()
	if err != nil {
		return err
	}
	fmt.Printf("%s: member %d of %s, serial %s, until %s\n", dir, id.Member, id.Installation, id.Serial, id.NotAfter.UTC().Format(time.RFC3339))
	return nil
}
