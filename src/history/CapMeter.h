#ifndef REDWINGRACK_HISTORY_CAPMETER_H
#define REDWINGRACK_HISTORY_CAPMETER_H

#include <map>
#include <set>
#include <string>

namespace rr::history {

/// Compares the requests moved so far with the caps that applied to all
/// requests so far. An observer does not know at which moment between sending
/// and ending the system decided on a request, so a request counts with the
/// largest cap of that time.
class CapMeter {
public:
  /// Sets the cap, 0 to 1, that applies from now on.
  void setCap(double Value);

  void sent(const std::string &RequestId);
  void ended(const std::string &RequestId);
  /// Notes that a request was moved; a repetition does not count.
  void moved(const std::string &RequestId);

  bool isExceeded() const;
  std::size_t movedCount() const { return this->Moved.size(); }
  /// Sum of the caps of all requests so far.
  double allowance() const { return this->Allowance; }

private:
  double Cap = 0;
  double Allowance = 0;
  // Requests that have not ended, with the cap that they count with.
  std::map<std::string, double> Open;
  std::set<std::string> Moved;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_CAPMETER_H
