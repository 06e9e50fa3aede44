#include "routing/SpillGrantor.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

// Shares of headroom and link that are handed out; the rest covers local
// growth during the validity of a grant.
constexpr double HeadroomShare = 0.8;
constexpr double LinkShare = 0.8;
// A view of this age is worth nothing; younger ones count in proportion.
constexpr std::chrono::duration<double> MaxViewAge{3.0};

double limitOf(const SpillSupply &Supply) {
  const double Worth = std::max(0.0, 1 - Supply.Age / MaxViewAge);
  return HeadroomShare * Worth *
         (std::max(0.0, Supply.FreePerSecond) + Supply.SpilledPerSecond);
}

} // namespace

SpillGrantor::SpillGrantor(std::string Region, std::string Name,
                           std::uint32_t Granters)
    : Region(std::move(Region)), Name(std::move(Name)),
      Part(1.0 / std::max(Granters, 1u)) {}

void SpillGrantor::setLink(const std::string &FromRegion,
                           double BytesPerSecond) {
  this->Links[FromRegion] = BytesPerSecond;
}

std::vector<double>
SpillGrantor::grantRequests(const std::vector<SpillAsk> &Asks,
                            const std::vector<SpillSupply> &Supplies,
                            Clock::time_point Now) {
  std::vector<double> Result(Asks.size());
  for (const SpillSupply &Supply : Supplies) {
    std::vector<GrantAsk> Wanted;
    std::vector<std::size_t> Positions;
    for (std::size_t I = 0; I < Asks.size(); ++I)
      if (Asks[I].Service == Supply.Service) {
        Wanted.push_back({Asks[I].Zone, Asks[I].RequestsPerSecond});
        Positions.push_back(I);
      }
    const auto Granted = this->RequestLedgers[Supply.Service].grant(
        Wanted, this->Part * limitOf(Supply), Now);
    for (std::size_t I = 0; I < Granted.size(); ++I)
      Result[Positions[I]] = Granted[I];
  }
  return Result;
}

std::vector<double> SpillGrantor::grantBytes(const std::vector<SpillAsk> &Asks,
                                             Clock::time_point Now) {
  std::vector<double> Result(Asks.size());
  for (const auto &Link : this->Links) {
    std::vector<GrantAsk> Wanted;
    std::vector<std::size_t> Positions;
    for (std::size_t I = 0; I < Asks.size(); ++I)
      if (Asks[I].Region == Link.first) {
        Wanted.push_back(
            {Asks[I].Zone + "/" + Asks[I].Service, Asks[I].BytesPerSecond});
        Positions.push_back(I);
      }
    const auto Granted = this->ByteLedgers[Link.first].grant(
        Wanted, this->Part * LinkShare * Link.second, Now);
    for (std::size_t I = 0; I < Granted.size(); ++I)
      Result[Positions[I]] = Granted[I];
  }
  return Result;
}

std::vector<SpillGrant>
SpillGrantor::grant(const std::vector<SpillAsk> &Asks,
                    const std::vector<SpillSupply> &Supplies,
                    Clock::time_point Now) {
  const auto Requests = this->grantRequests(Asks, Supplies, Now);
  const auto Bytes = this->grantBytes(Asks, Now);
  std::vector<SpillGrant> Result;
  for (std::size_t I = 0; I < Asks.size(); ++I)
    if (Requests[I] > 0 && Bytes[I] > 0)
      Result.push_back({this->Region, this->Name, Asks[I].Zone, Asks[I].Service,
                        Requests[I], Bytes[I]});
  return Result;
}

} // namespace rr
