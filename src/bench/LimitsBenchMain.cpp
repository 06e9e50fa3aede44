#include "bench/LimitsBench.h"

int main(int Count, char **Values) {
  return rr::runLimitsBench({Values + 1, Values + Count});
}
