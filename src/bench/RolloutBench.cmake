# Simulation of version comparison, shifts and drains.
rr_library(rolloutbench SOURCES ${CMAKE_CURRENT_LIST_DIR}/RolloutBench.cpp DEPENDS plans fakefleet rollout)
