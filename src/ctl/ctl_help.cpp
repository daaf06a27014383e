#include "ctl/ctl_options.h"

#include <array>

namespace briarpoint {

namespace {

struct command_help {
  std::string_view Name;
  std::string_view Summary;
  std::string_view Details;
};

constexpr std::array<command_help, 9> Commands{{
    {"patch", "submit a patch against a numbered version",
     "  --file FILE   patch in TOML (name ends in .toml) or JSON; \"-\" reads JSON from stdin\n"
     "  --base N      version that the patch is against, if not in the file\n"
     "  --id ID       patch id; repeating a patch with the same id is safe\n"
     "  --dry-run     show findings and what would change, change nothing\n\n"
     "Examples:\n"
     "  briarpointctl patch --file drain.toml --base 41 --dry-run\n"
     "  briarpointctl patch --file drain.toml --base 41 --id drain-7\n"},
    {"get", "print the configuration in force, or an earlier version",
     "Examples:\n  briarpointctl get\n  briarpointctl get 41 --json\n"},
    {"history", "list the last accepted patches", "Examples:\n  briarpointctl history\n"},
    {"status", "show the state of each balancer given by --server",
     "Examples:\n  briarpointctl status --server 10.0.0.1:7003 --server 10.0.0.2:7003\n"
     "  briarpointctl status --json\n"},
    {"drain", "send no new flows to a target, or make a balancer leave",
     "Examples:\n  briarpointctl drain gate/gate-03\n"
     "  briarpointctl drain --balancer --server 10.0.0.1:7003\n"},
    {"undrain", "send new flows to a target again",
     "Examples:\n  briarpointctl undrain gate/gate-03\n"},
    {"dump", "print the whole state of a balancer as JSON", "Examples:\n  briarpointctl dump\n"},
    {"watch", "print the status whenever it changes",
     "  --interval S  seconds between two status requests (default 1)\n"
     "  --count N     end after N status requests to each server\n\n"
     "Examples:\n  briarpointctl watch --interval 2\n"},
    {"completion", "print a script that completes commands and options",
     "Examples:\n  briarpointctl completion bash > /etc/bash_completion.d/briarpointctl\n"},
}};

constexpr std::string_view CommonOptions =
    "Options of every command:\n"
    "  --server ADDRESS:PORT  operator endpoint of a balancer (default 127.0.0.1:7003); given\n"
    "                         several times, the next is tried if one cannot be reached\n"
    "  --token TOKEN          operator token; else the variable BRIARPOINT_TOKEN\n"
    "  --token-file FILE      file with the token, used if neither of them is given\n"
    "  --timeout S            seconds to wait for an answer (default 10)\n"
    "  --json                 output for scripts\n"
    "  --help, --version\n\n"
    "Exit codes: 0 done, 1 unexpected answer, 2 usage, 3 refused (invalid patch or token),\n"
    "4 stale version, 5 unknown outcome, 6 unreachable or platform unavailable\n";

constexpr std::string_view OptionNames =
    "--server --token --token-file --timeout --json --help --version --file --base --id --dry-run "
    "--balancer --interval --count";

} // namespace

std::string ctlHelp(const std::string &Command) {
  for (const command_help &Help : Commands)
    if (Help.Name == Command)
      return "briarpointctl " + Command + ": " + std::string(Help.Summary) + "\n\n" +
             std::string(Help.Details) + "\n" + std::string(CommonOptions);
  std::string Text = "Usage: briarpointctl COMMAND [options]\n\nCommands:\n";
  constexpr std::size_t NameWidth = 12;
  for (const command_help &Help : Commands) {
    std::string Name(Help.Name);
    Name.resize(NameWidth, ' ');
    Text += "  " + Name + std::string(Help.Summary) + "\n";
  }
  return Text + "\n\"briarpointctl COMMAND --help\" shows examples.\n\n" +
         std::string(CommonOptions);
}

std::string bashCompletion() {
  std::string Names;
  for (const command_help &Help : Commands)
    Names += std::string(Help.Name) + " ";
  return "_briarpointctl() {\n"
         "  local word=${COMP_WORDS[COMP_CWORD]}\n"
         "  case ${COMP_WORDS[COMP_CWORD-1]} in\n"
         "    --file|--token-file|-f) COMPREPLY=($(compgen -f -- \"$word\")); return;;\n"
         "    completion) COMPREPLY=($(compgen -W bash -- \"$word\")); return;;\n"
         "  esac\n"
         "  if [[ $word == -* ]]; then\n"
         "    COMPREPLY=($(compgen -W \"" +
         std::string(OptionNames) +
         "\" -- \"$word\"))\n"
         "  elif [[ $COMP_CWORD == 1 ]]; then\n"
         "    COMPREPLY=($(compgen -W \"" +
         Names +
         "\" -- \"$word\"))\n"
         "  fi\n"
         "}\n"
         "complete -F _briarpointctl briarpointctl\n";
}

} // namespace briarpoint
