# Simulation of how the instances of `steer` hold rates.
rr_library(quotabench SOURCES ${CMAKE_CURRENT_LIST_DIR}/QuotaBench.cpp DEPENDS quotafleet)
