#include "bench/LimitsTally.h"

#include "bench/LimitsWorkload.h"

#include <algorithm>
#include <cstdio>

namespace rr {

namespace {

double percent(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0 ? 0 : 100.0 * double(Part) / double(Whole);
}

double quantile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  const auto Place =
      Values.begin() + std::ptrdiff_t(Part * double(Values.size() - 1));
  std::nth_element(Values.begin(), Place, Values.end());
  return *Place;
}

} // namespace

LimitsTally::LimitsTally(const LimitsScenario &Scenario)
    : Length(Scenario.Length), Workspaces(BenchWorkspaces),
      Seconds(std::size_t(Scenario.Length.count()) + 1) {
  for (std::size_t I = 0; I < BenchWorkspaces; ++I) {
    this->Ideal.emplace_back(BenchRates[I], BenchBursts[I]);
    this->Charged.emplace_back(BenchRates[I], BenchBursts[I]);
  }
}

std::size_t LimitsTally::arrived(std::size_t Workspace, double Now) {
  const bool Ideal = this->Ideal[Workspace].take(Now);
  this->Requests.push_back({Workspace, Now, Ideal});
  ++this->Workspaces[Workspace].Requests;
  this->Workspaces[Workspace].IdealAdmitted += Ideal ? 1 : 0;
  ++this->Seconds[std::size_t(Now)].first;
  return this->Requests.size() - 1;
}

void LimitsTally::admitted(std::size_t Request, double Now, double Delay) {
  const auto &Item = this->Requests[Request];
  ++this->Workspaces[Item.Workspace].Admitted;
  this->Waits.push_back(Now + Delay - Item.At);
  if (!this->Charged[Item.Workspace].charge(Now))
    ++this->Over;
}

void LimitsTally::refused(std::size_t Request, double Now) {
  const auto &Item = this->Requests[Request];
  ++this->Workspaces[Item.Workspace].Refused;
  if (!Item.Ideal)
    return;
  ++this->Workspaces[Item.Workspace].Wrongful;
  ++this->Seconds[std::size_t(Item.At)].second;
}

double LimitsTally::wrongfulInSecond(std::size_t Second) const {
  return percent(this->Seconds[Second].second, this->Seconds[Second].first);
}

void LimitsTally::print(const std::string &Name) const {
  std::uint64_t Wrongful = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Shortfall = 0;
  double Worst = 0;
  std::size_t WorstWorkspace = 0;
  for (std::size_t I = 0; I < this->Workspaces.size(); ++I) {
    const PerWorkspace &Item = this->Workspaces[I];
    Wrongful += Item.Wrongful;
    Refused += Item.Refused;
    Shortfall +=
        Item.IdealAdmitted - std::min(Item.IdealAdmitted, Item.Admitted);
    const double Part = percent(Item.Wrongful, Item.Requests);
    if (Part > Worst) {
      Worst = Part;
      WorstWorkspace = I;
    }
  }
  const std::uint64_t All = this->Requests.size();
  std::printf(
      "  %-22s %8llu %8.3f %8.3f %8.3f  %8.3f (w%zu) %6llu %8llu %8.1f "
      "%7.1f %7.1f\n",
      Name.c_str(), static_cast<unsigned long long>(All), percent(Refused, All),
      percent(Wrongful, All), percent(Shortfall, All), Worst, WorstWorkspace,
      static_cast<unsigned long long>(this->Over),
      static_cast<unsigned long long>(this->Unserved),
      double(this->Messages) / double(this->Length.count()),
      1000 * quantile(this->Waits, 0.5), 1000 * quantile(this->Waits, 0.99));
}

} // namespace rr
