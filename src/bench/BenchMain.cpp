#include "bench/BenchCommands.h"

#include <cstdio>

int main(int ArgumentCount, char **ArgumentValues) {
  const std::vector<std::string> Arguments(ArgumentValues + 1,
                                           ArgumentValues + ArgumentCount);
  for (const rr::BenchCommand &Command : rr::benchCommands())
    if (!Arguments.empty() && Arguments[0] == Command.Name)
      return Command.Run({Arguments.begin() + 1, Arguments.end()});
  std::fputs("usage: redwingrack-bench COMMAND [ARGUMENT...]\n", stderr);
  for (const rr::BenchCommand &Command : rr::benchCommands())
    std::fprintf(stderr, "  %-10s %s\n", Command.Name, Command.Summary);
  return 2;
}
