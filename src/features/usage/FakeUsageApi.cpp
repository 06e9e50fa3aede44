#include "usage/FakeUsageApi.h"

namespace rr {

bool FakeUsageApi::returnsTooEarly(const std::string &Machine,
                                   Clock::time_point Now) const {
  bool Other = false;
  for (auto Item = this->Calls.rbegin();
       Item != this->Calls.rend() && Now - Item->At <= this->Lease; ++Item) {
    if (Item->Machine == Machine)
      return Other;
    Other = true;
  }
  return false;
}

void FakeUsageApi::receive(const std::string &Machine,
                           const UsageReport &Report) {
  const std::string Text = Machine + " with token " +
                           std::to_string(Report.Token) + ", window " +
                           std::to_string(Report.Window);
  const auto Known = this->Reports.find(Report.Window);
  if (Known != this->Reports.end() && Known->second != Report.Counts)
    this->Violations.push_back("two counts for a window: " + Text);
  this->Reports.try_emplace(Report.Window, Report.Counts);
  const auto Owner = this->MachineByToken.try_emplace(Report.Token, Machine);
  if (Owner.first->second != Machine)
    this->Violations.push_back("a token of two holders: " + Text);
  if (Report.Token < this->MachineByToken.rbegin()->first)
    this->Violations.push_back("a token fell: " + Text);
  const Clock::time_point Now = Clock::now();
  if (this->returnsTooEarly(Machine, Now))
    this->Violations.push_back("a holder returned within the lease: " + Text);
  this->Calls.push_back({Now, Machine, Report});
}

} // namespace rr
