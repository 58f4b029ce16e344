package cmds

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"shallotcourse/internal/conf"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

// maxSettingsBytes bounds the size of a settings file.
const maxSettingsBytes = 1 << 20

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Work with settings files"}
	c.AddCommand(configCheckCommand())
	return c
}

func configCheckCommand() *cobra.Command {
	var role string
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Report every problem in a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := readSettings(args[0])
			if err != nil {
				return err
			}
			if err := checkSettings(role, text); err != nil {
				return err
			}
			c.Println(args[0] + ": valid")
			return nil
		},
	}
	c.Flags().StringVar(&role, "role", "", "entry, agent or gateway; by default derived from the settings Target and Store")
	return c
}

func checkSettings(role string, text []byte) error {
	if role == "" {
		role = string(conf.DetectRole(text))
	}
	var err error
	switch role {
	case "entry", string(wire.RoleEntry):
		_, err = conf.ParseEntry(text)
	case "agent", string(wire.RoleAgent):
		_, err = conf.ParseAgent(text)
	case "gateway", string(wire.RoleGateway):
		_, err = conf.ParseGateway(text)
	default:
		err = fault.Invalid("--role", role, "entry, agent, gateway")
	}
	return err
}

func readSettings(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fault.Newf(fault.BadInput, "cannot open %s", name).WithCause(err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxSettingsBytes+1))
	if err != nil {
		return nil, fault.Newf(fault.BadInput, "cannot read %s", name).WithCause(err)
	}
	if len(text) > maxSettingsBytes {
		return nil, fault.Newf(fault.TooLarge, "%s has more than %d bytes", name, maxSettingsBytes)
	}
	return text, nil
}
