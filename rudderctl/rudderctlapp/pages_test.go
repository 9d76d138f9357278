package rudderctlapp

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// repository is the path of the repository root, relative to this package.
const repository = "../.."

var (
	quoted   = regexp.MustCompile("`([^`\n]+)`")
	packages = regexp.MustCompile(`(^|[^\w-])(rudder[a-z]+)([^\w-]|$)`)
	commands = regexp.MustCompile(`\b(rudderctl|make)\s+[^|>&;#)]+`)
)

// passages returns the code in a Markdown page: the inline spans, and the commands in fenced blocks, which
// are the lines that start with a dollar sign.
func passages(page string) (inline, typed []string) {
	fenced := false
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "```") {
			fenced = !fenced
			continue
		}
		if command, found := strings.CutPrefix(line, "$ "); fenced && found {
			typed = append(typed, strings.TrimSpace(command))
		}
		if !fenced {
			for _, span := range quoted.FindAllStringSubmatch(line, -1) {
				inline = append(inline, span[1])
			}
		}
	}
	return inline, typed
}

// Guards against documentation that names packages, make targets or commands that do not exist.
func TestPagesNameWhatExists(t *testing.T) {
	makefile, err := os.ReadFile(filepath.Join(repository, "Makefile"))
	require.NoError(t, err)
	for _, name := range []string{"README.md", "docs/architecture.md", "docs/operators.md"} {
		t.Run(name, func(t *testing.T) {
			page, err := os.ReadFile(filepath.Join(repository, filepath.FromSlash(name)))
			require.NoError(t, err)
			inline, typed := passages(string(page))
			require.NotEmpty(t, inline)
			for _, span := range inline {
				for _, match := range packages.FindAllStringSubmatch(span, -1) {
					assert.True(t, packageExists(match[2]), "package %s in %q", match[2], span)
				}
			}
			for _, code := range append(inline, typed...) {
				if command := commands.FindString(code); command != "" {
					requireCommand(t, string(makefile), strings.Fields(command), code)
				}
			}
		})
	}
}

func packageExists(name string) bool {
	if _, err := os.Stat(filepath.Join(repository, name)); err == nil {
		return true
	}
	found, _ := filepath.Glob(filepath.Join(repository, "*", name, "*.go"))
	return len(found) > 0
}

func requireCommand(t *testing.T, makefile string, words []string, code string) {
	t.Helper()
	if words[0] == "make" {
		for _, target := range words[1:] {
			if !strings.HasPrefix(target, "-") && !strings.Contains(target, "=") {
				assert.True(t, strings.Contains(makefile, "\n"+target+":"), "make target in %q", code)
			}
		}
		return
	}
	root := (&control{}).command(func(string) (string, bool) { return "", false })
	root.InitDefaultCompletionCmd()
	command, rest, err := root.Find(words[1:])
	require.NoError(t, err, code)
	assert.False(t, command.HasSubCommands() && len(rest) > 0 && !strings.HasPrefix(rest[0], "-"), "no command %q", code)
	for _, word := range rest {
		if flag, isFlag := strings.CutPrefix(word, "--"); isFlag {
			flag, _, _ = strings.Cut(flag, "=")
			assert.True(t, flag == "help" || knownFlag(command, flag), "flag --%s in %q", flag, code)
		}
	}
}

func knownFlag(command *cobra.Command, flag string) bool {
	return command.Flags().Lookup(flag) != nil || command.InheritedFlags().Lookup(flag) != nil
}
