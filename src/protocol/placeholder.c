typedef int protocol_placeholder_t;
