#pragma once

#include <cstddef>
#include <sys/types.h>

/**
 * The parts of picohttpparser that client and pipelined server use. libh2o exports them without
 * a header of their own.
 */
extern "C" {

// NOLINTBEGIN(readability-identifier-naming): names of the library.
struct phr_header {
    const char *name;
    size_t name_len;
    const char *value;
    size_t value_len;
};

/** Returns the size of the head, -1 where it is no HTTP/1 request, -2 where it is not yet whole. */
int phr_parse_request(const char *buf,
                      size_t len,
                      const char **method,
                      size_t *method_len,
                      const char **path,
                      size_t *path_len,
                      int *minor_version,
                      phr_header *headers,
                      size_t *num_headers,
                      size_t last_len);

/** Returns the size of the head, -1 where it is no HTTP/1 answer, -2 where it is not yet whole. */
int phr_parse_response(const char *buf,
                       size_t len,
                       int *minor_version,
                       int *status,
                       const char **msg,
                       size_t *msg_len,
                       phr_header *headers,
                       size_t *num_headers,
                       size_t last_len);

struct phr_chunked_decoder {
    size_t bytes_left_in_chunk;
    char consume_trailer;
    char _hex_count;
    char _state;
};

/** Decodes in place. Returns the bytes left behind the last chunk, -1 for a fault, -2 where more is to come. */
ssize_t phr_decode_chunked(phr_chunked_decoder *decoder, char *buf, size_t *bufsz);
// NOLINTEND(readability-identifier-naming)
}
