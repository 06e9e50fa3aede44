# Simulation of the rate limiting policies. The lead folds it into redwingrack-bench.
rr_library(limitsbench
  SOURCES ${CMAKE_CURRENT_LIST_DIR}/FairQueueBench.cpp ${CMAKE_CURRENT_LIST_DIR}/LimitsBench.cpp
          ${CMAKE_CURRENT_LIST_DIR}/LimitsPolicies.cpp ${CMAKE_CURRENT_LIST_DIR}/LimitsTally.cpp
          ${CMAKE_CURRENT_LIST_DIR}/LimitsWorkload.cpp ${CMAKE_CURRENT_LIST_DIR}/ShareFleet.cpp
  DEPENDS limits base)
add_executable(limits-bench ${CMAKE_CURRENT_LIST_DIR}/LimitsBenchMain.cpp)
target_link_libraries(limits-bench PRIVATE limitsbench)
