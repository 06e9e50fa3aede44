#include "bench/RolloutBench.h"

int main(int Count, char **Values) {
  return rr::runRolloutBench(
      std::vector<std::string>(Values + 1, Values + Count));
}
