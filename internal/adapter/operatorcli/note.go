package operatorcli

type checkNoteCommand struct {
	File string `arg:"" help:"Release note (JSON)."`
}

// Run checks the note.
func (c *checkNoteCommand) Run(r *run) error { return errRefused }
