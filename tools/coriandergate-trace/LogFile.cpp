#include "LogFile.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>
#include <utility>
#include <vector>
#include <zlib.h>

namespace coriandergate {

struct LogFile::Stream {
    gzFile file = nullptr;
    int openError = 0;
};

namespace {

    constexpr std::size_t chunkBytes = 256 * 1024;

    auto openStream(int descriptor) -> gzFile
    {
        auto* const file = descriptor < 0 ? nullptr : ::gzdopen(descriptor, "rb");
        if (file)
            ::gzbuffer(file, chunkBytes);
        return file;
    }

} // namespace

LogFile::LogFile(std::string path)
    : m_name(std::move(path))
    , m_stream(std::make_unique<Stream>())
{
    const auto descriptor = ::open(m_name.c_str(), O_RDONLY | O_CLOEXEC);
    m_stream->openError = descriptor < 0 ? errno : 0;
    m_stream->file = openStream(descriptor);
}

LogFile::LogFile(int descriptor)
    : m_name("stdin")
    , m_stream(std::make_unique<Stream>())
{
    const auto copy = ::dup(descriptor);
    m_stream->openError = copy < 0 ? errno : 0;
    m_stream->file = openStream(copy);
}

LogFile::~LogFile()
{
    if (m_stream->file)
        ::gzclose(m_stream->file);
}

auto LogFile::readLines(const LineHandler& onLine, const OverlongHandler& onOverlong, Error& reason) -> bool
{
    if (!m_stream->file) {
        reason = { "open log", m_name, std::strerror(m_stream->openError) };
        return false;
    }
    // Holds the begin of a line that isn't complete yet, and behind it the next chunk.
    std::vector<char> buffer(s_maximumLineBytes + chunkBytes);
    std::size_t held = 0;
    bool isSkipping = false; // the rest of an overlong line
    while (true) {
        const auto count = ::gzread(m_stream->file, buffer.data() + held, chunkBytes);
        if (count <= 0)
            break;
        std::string_view bytes(buffer.data(), held + static_cast<std::size_t>(count));
        for (auto end = bytes.find('\n', held); end != std::string_view::npos; end = bytes.find('\n')) {
            if (isSkipping || end > s_maximumLineBytes)
                onOverlong();
            else
                onLine(bytes.substr(0, end));
            isSkipping = false;
            bytes.remove_prefix(end + 1);
        }
        isSkipping = isSkipping || bytes.size() > s_maximumLineBytes;
        held = isSkipping ? 0 : bytes.size();
        std::memmove(buffer.data(), bytes.data(), held);
    }
    if (isSkipping)
        onOverlong();
    else if (held > 0)
        onLine({ buffer.data(), held });
    // A file that ends within its compressed data is no error of gzread(), but one of gzclose_r(), which frees the
    // file.
    int status = Z_OK;
    const char* const text = ::gzerror(m_stream->file, &status);
    if (status != Z_OK && status != Z_STREAM_END) {
        reason = { "read log", m_name, status == Z_ERRNO ? std::strerror(errno) : text };
        return false;
    }
    if (::gzclose_r(std::exchange(m_stream->file, nullptr)) == Z_BUF_ERROR) {
        reason = { "read log", m_name, "the compressed data is cut off" };
        return false;
    }
    return true;
}

} // namespace coriandergate
