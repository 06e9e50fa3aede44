#include "history/Violation.h"

namespace rr::history {

std::string describe(const Violation &Item) {
  std::string Text = "P" + std::to_string(static_cast<int>(Item.Broken)) +
                     " at " + describe(Item.At) + ": expected " +
                     Item.Expected + "; seen " + Item.Seen + "; events:";
  const char *Separator = " ";
  for (const Event &Cause : Item.Events) {
    Text += Separator + ("[" + describe(Cause) + "]");
    Separator = ", ";
  }
  return Text;
}

} // namespace rr::history
