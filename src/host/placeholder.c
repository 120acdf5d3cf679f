typedef int host_placeholder_t;
