# The fuzz targets of fuzz/, one program for each *Fuzz.cpp, with clang's libFuzzer and the sources that they decode with.
find_package(Boost 1.74 REQUIRED)
find_package(nlohmann_json 3 REQUIRED)
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LIBSODIUM REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(LIBXXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_library(LOG4CXX_LIBRARY log4cxx REQUIRED)

add_compile_options(-fsanitize=fuzzer-no-link,address,undefined,float-cast-overflow -fno-omit-frame-pointer
    -fno-sanitize-recover=all)
add_library(fuzzed STATIC
    platform/ConfigurationCodec.cpp platform/ControlCalls.cpp platform/FieldReader.cpp platform/StoreCodec.cpp
    src/base/BoundedJson.cpp src/base/Error.cpp src/base/Hash.cpp
    src/config/KeyDigest.cpp src/config/KeyIndex.cpp src/config/Service.cpp
    src/fleet/CrashRow.cpp src/fleet/HostRecord.cpp src/fleet/RelayWatchCodec.cpp
    src/http/Answer.cpp src/http/AnswerParser.cpp src/http/CborMessage.cpp src/http/HeaderList.cpp
    src/http/RequestParser.cpp src/http/Serialize.cpp
    src/log/BoundedWriter.cpp src/log/Event.cpp
    src/net/Endpoint.cpp src/relay/PeerMessages.cpp)
target_include_directories(fuzzed PUBLIC src ${CMAKE_SOURCE_DIR})
target_link_libraries(fuzzed PUBLIC Boost::headers nlohmann_json::nlohmann_json PkgConfig::LIBSODIUM
    PkgConfig::LIBXXHASH ${LOG4CXX_LIBRARY} Threads::Threads)

file(GLOB FUZZ_SOURCES CONFIGURE_DEPENDS fuzz/*Fuzz.cpp)
foreach(source ${FUZZ_SOURCES})
    get_filename_component(target ${source} NAME_WE)
    add_executable(${target} ${source} fuzz/RepeatedParts.cpp)
    target_link_libraries(${target} PRIVATE fuzzed)
    target_link_options(${target} PRIVATE -fsanitize=fuzzer,address,undefined,float-cast-overflow)
endforeach()
