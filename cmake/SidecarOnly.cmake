# The release build of the platform's daemon alone: the directories that it uses, and no tests.
find_package(Boost 1.74 REQUIRED)
find_package(nlohmann_json 3 REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(docopt REQUIRED)
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LIBSODIUM REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(LIBXXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_library(LOG4CXX_LIBRARY log4cxx REQUIRED)

file(GLOB_RECURSE SIDECAR_SOURCES CONFIGURE_DEPENDS
    src/base/*.cpp src/log/*.cpp src/net/*.cpp src/dispatch/*.cpp src/fleet/*.cpp src/relay/*.cpp src/sidecar/*.cpp
    platform/*.cpp)
list(FILTER SIDECAR_SOURCES EXCLUDE REGEX "(_test|_benchmark)\\.cpp$|/platform/testing/")
list(APPEND SIDECAR_SOURCES
    src/http/Answer.cpp src/http/AnswerParser.cpp src/http/CborMessage.cpp src/http/Exchange.cpp src/http/HeaderList.cpp
    src/http/Problem.cpp
    src/http/RequestParser.cpp src/http/Serialize.cpp src/config/KeyDigest.cpp src/config/KeyIndex.cpp
    src/config/Service.cpp)

# The daemon's own sources as objects, which its tests share.
add_library(sidecar_objects OBJECT ${SIDECAR_SOURCES})
target_include_directories(sidecar_objects PUBLIC src ${CMAKE_SOURCE_DIR})
target_compile_definitions(sidecar_objects PUBLIC CORIANDERGATE_VERSION="${PROJECT_VERSION}")
target_link_libraries(sidecar_objects PUBLIC
    Boost::headers nlohmann_json::nlohmann_json prometheus-cpp::core PkgConfig::LIBSODIUM PkgConfig::LIBXXHASH docopt ${LOG4CXX_LIBRARY}
    Threads::Threads)
add_executable(coriandergate-sidecar tools/coriandergate-sidecar/main.cpp)
target_link_libraries(coriandergate-sidecar PRIVATE sidecar_objects)

# The tests of the daemon's directories, with the sources of these directories alone: without Qt and real processes.
option(CORIANDERGATE_SIDECAR_TESTS "Build the tests of the platform's daemon" OFF)
if(CORIANDERGATE_SIDECAR_TESTS)
    find_package(Catch2 2 REQUIRED)
    find_package(rapidcheck REQUIRED)
    file(GLOB SIDECAR_TEST_SOURCES CONFIGURE_DEPENDS
        src/base/*_test.cpp src/log/*_test.cpp src/net/*_test.cpp src/dispatch/*_test.cpp src/fleet/*_test.cpp
        src/relay/*_test.cpp src/sidecar/*_test.cpp)
    # It compares docs/EVENTS.md with the events of the whole project, which this build lacks.
    list(FILTER SIDECAR_TEST_SOURCES EXCLUDE REGEX "/log/Event_test\\.cpp$")
    list(APPEND SIDECAR_TEST_SOURCES
        src/config/KeyDigest_test.cpp src/config/KeyIndex_test.cpp src/http/AnswerParser_test.cpp
        src/http/MessageBounds_test.cpp
        src/http/RequestParser_test.cpp
        platform/Codecs_test.cpp platform/StoreCodec_test.cpp src/testing/EntryFixture.cpp src/testing/FleetSimulation.cpp
        src/testing/FleetSimulationMessages.cpp src/testing/RetryHistory.cpp
        src/testing/Main_test.cpp src/testing/RawServer.cpp src/testing/RelayMessages.cpp src/testing/RequestFixture.cpp
        src/testing/SimulatedNetwork.cpp src/testing/SimulatedScheduler.cpp src/testing/SimulatedStore.cpp)
    add_executable(coriandergate_sidecar_tests ${SIDECAR_TEST_SOURCES})
    target_link_libraries(coriandergate_sidecar_tests PRIVATE sidecar_objects Catch2::Catch2 rapidcheck)
    enable_testing()
    include(Catch)
    catch_discover_tests(coriandergate_sidecar_tests PROPERTIES TIMEOUT 300)
endif()
