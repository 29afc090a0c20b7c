#include <parsleyplank/core/error.hpp>
#include <parsleyplank/proxy/gzip.hpp>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/crc.hpp>

#include <array>
#include <cstdint>

namespace parsleyplank::proxy
{

namespace
{

namespace zlib = boost::beast::zlib;

// Signature, method deflate, no optional fields, no time, unknown system.
constexpr std::array<unsigned char, 10> gzip_header{0x1f, 0x8b, 8, 0, 0,
                                                    0,    0,    0, 0, 255};

void append_little_endian(std::string& text, std::uint32_t value)
{
    for (int shift = 0; shift < 32; shift += 8)
        text += static_cast<char>(value >> shift & 0xffU);
}

void append_deflated(std::string& text, std::string_view data)
{
    constexpr int level = 1;
    constexpr int window_bits = 15;
    constexpr int memory_level = 8;
    zlib::deflate_stream stream;
    stream.reset(level, window_bits, memory_level, zlib::Strategy::normal);
    const auto offset = text.size();
    text.resize(offset + stream.upper_bound(data.size()));
    zlib::z_params buffers;
    buffers.next_in = data.data();
    buffers.avail_in = data.size();
    buffers.next_out = text.data() + offset;
    buffers.avail_out = text.size() - offset;
    error_code ec;
    stream.write(buffers, zlib::Flush::finish, ec);
    if (ec != zlib::error::end_of_stream)
        throw error("can't compress: " + ec.message());
    text.resize(offset + buffers.total_out);
}

} // namespace

std::string gzip(std::string_view data)
{
    std::string text(gzip_header.begin(), gzip_header.end());
    append_deflated(text, data);
    boost::crc_32_type checksum;
    checksum.process_bytes(data.data(), data.size());
    append_little_endian(text, checksum.checksum());
    append_little_endian(text, static_cast<std::uint32_t>(data.size()));
    return text;
}

bool accepts_gzip(const http::fields& fields)
{
    const auto value = header_value(fields, "Accept-Encoding");
    return value.find("gzip") != std::string_view::npos;
}

} // namespace parsleyplank::proxy
