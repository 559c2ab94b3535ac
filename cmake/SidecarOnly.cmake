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
    platform/*.cpp tools/coriandergate-sidecar/*.cpp)
list(FILTER SIDECAR_SOURCES EXCLUDE REGEX "(_test|_benchmark)\\.cpp$|/platform/testing/")
list(APPEND SIDECAR_SOURCES
    src/http/Answer.cpp src/http/AnswerParser.cpp src/http/CborMessage.cpp src/http/Exchange.cpp src/http/HeaderList.cpp
    src/http/Problem.cpp
    src/http/RequestParser.cpp src/http/Serialize.cpp src/config/KeyDigest.cpp src/config/KeyIndex.cpp
    src/config/Service.cpp)

add_executable(coriandergate-sidecar ${SIDECAR_SOURCES})
target_include_directories(coriandergate-sidecar PRIVATE src ${CMAKE_SOURCE_DIR})
target_compile_definitions(coriandergate-sidecar PRIVATE CORIANDERGATE_VERSION="${PROJECT_VERSION}")
target_link_libraries(coriandergate-sidecar PRIVATE
    Boost::headers nlohmann_json::nlohmann_json prometheus-cpp::core PkgConfig::LIBSODIUM PkgConfig::LIBXXHASH docopt ${LOG4CXX_LIBRARY}
    Threads::Threads)
