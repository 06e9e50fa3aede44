#include "limits/ShareAllocation.h"

namespace rr {

namespace {

bool inRange(const ShareAmount &Amount) {
  return Amount.Rate >= 0 && Amount.Rate <= MaxAmount && Amount.Burst >= 0 &&
         Amount.Burst <= MaxAmount && Amount.Tokens == 0;
}

bool isConsistent(const WorkspaceAllocation &Workspace,
                  const std::set<ShareHolder> &Holders) {
  if (!inRange(Workspace.Total))
    return false;
  // Subtracting from the total cannot overflow, whatever the row contains.
  ShareAmount Remaining = Workspace.Total;
  for (const auto &[Holder, Share] : Workspace.Shares) {
    if (!Holders.contains(Holder) || !inRange(Share) ||
        Share.Rate > Remaining.Rate || Share.Burst > Remaining.Burst)
      return false;
    Remaining.Rate -= Share.Rate;
    Remaining.Burst -= Share.Burst;
  }
  return true;
}

} // namespace

Outcome<void> checkAllocation(const ShareAllocation &Allocation) {
  if (Allocation.Epoch == 0)
    return failure(Errc::Malformed);
  for (const auto &[Name, Workspace] : Allocation.Workspaces)
    if (Name.empty() || !isConsistent(Workspace, Allocation.Holders))
      return failure(Errc::Malformed);
  return {};
}

ShareAmount shareOf(const ShareAllocation &Allocation,
                    const std::string &Workspace, const ShareHolder &Holder) {
  const auto Found = Allocation.Workspaces.find(Workspace);
  if (Found == Allocation.Workspaces.end())
    return {};
  const auto Share = Found->second.Shares.find(Holder);
  return Share == Found->second.Shares.end() ? ShareAmount{} : Share->second;
}

} // namespace rr
