# Simulation of the rate limiting policies.
rr_library(limitsbench
  SOURCES ${CMAKE_CURRENT_LIST_DIR}/FairQueueBench.cpp ${CMAKE_CURRENT_LIST_DIR}/LimitsBench.cpp
          ${CMAKE_CURRENT_LIST_DIR}/LimitsPolicies.cpp ${CMAKE_CURRENT_LIST_DIR}/LimitsTally.cpp
          ${CMAKE_CURRENT_LIST_DIR}/LimitsWorkload.cpp ${CMAKE_CURRENT_LIST_DIR}/ShareFleet.cpp
  DEPENDS limits base)
