add_executable(rollout-bench RolloutBench.cpp RolloutBenchMain.cpp)
target_link_libraries(rollout-bench PRIVATE plans fakefleet rollout)
