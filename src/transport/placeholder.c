typedef int transport_placeholder_t;
