
#ifndef HOST_RPC_H_RPCGEN
#define HOST_RPC_H_RPCGEN

#include <rpc/rpc.h>


#ifdef __cplusplus
extern "C" {
#endif

#define RPC_NAME_MAX 127
#define RPC_ADDRESS_MAX 64
#define RPC_REASON_MAX 255
#define RPC_TEXT_MAX 1048576
#define RPC_LEASES_MAX 256
#define RPC_MOVES_MAX 256
#define RPC_COUNTS_MAX 256
#define RPC_LOADS_MAX 1024
#define RPC_KEYS_MAX 2048
#define RPC_SUSPECTS_MAX 256
#define RPC_DIGEST_SIZE 32
#define RPC_TOKEN_SIZE 16
#define RPC_NONCE_SIZE 16

typedef char *rpc_name_t;

typedef char *rpc_address_t;

typedef char rpc_digest_t[RPC_DIGEST_SIZE];

typedef char rpc_token_t[RPC_TOKEN_SIZE];

typedef char rpc_nonce_t[RPC_NONCE_SIZE];

struct rpc_cred_t {
	rpc_nonce_t session;
	rpc_nonce_t nonce;
	rpc_address_t caller;
	rpc_address_t callee;
	u_quad_t elapsed_ms;
};
typedef struct rpc_cred_t rpc_cred_t;

enum rpc_host_state_t {
	RPC_HOST_JOINING = 0,
	RPC_HOST_LIVE = 1,
	RPC_HOST_LEAVING = 2,
	RPC_HOST_GONE = 3,
};
typedef enum rpc_host_state_t rpc_host_state_t;

struct rpc_host_t {
	rpc_name_t id;
	u_quad_t incarnation;
	rpc_name_t region;
	rpc_name_t domain;
	rpc_address_t rpc_address;
	rpc_address_t callers_address;
	rpc_host_state_t state;
	rpc_name_t build;
};
typedef struct rpc_host_t rpc_host_t;

struct rpc_lease_t {
	rpc_name_t name;
	u_quad_t epoch;
};
typedef struct rpc_lease_t rpc_lease_t;

struct rpc_move_step_t {
	rpc_name_t move;
	u_int step;
	bool_t stopped;
};
typedef struct rpc_move_step_t rpc_move_step_t;

struct rpc_version_count_t {
	u_int requests;
	u_int errors;
	u_int slow;
};
typedef struct rpc_version_count_t rpc_version_count_t;

struct rpc_move_count_t {
	rpc_name_t move;
	rpc_name_t route;
	u_int band;
	rpc_version_count_t new_version;
	rpc_version_count_t old_version;
};
typedef struct rpc_move_count_t rpc_move_count_t;

struct rpc_load_t {
	rpc_name_t endpoint;
	u_int in_flight;
};
typedef struct rpc_load_t rpc_load_t;

struct rpc_heartbeat_t {
	rpc_host_t host;
	u_quad_t config_version;
	rpc_digest_t config_digest;
	u_quad_t keys_version;
	quad_t store_age_ms;
	struct {
		u_int leases_len;
		rpc_lease_t *leases_val;
	} leases;
	struct {
		u_int moves_len;
		rpc_move_step_t *moves_val;
	} moves;
	struct {
		u_int loads_len;
		rpc_load_t *loads_val;
	} loads;
	struct {
		u_int counts_len;
		rpc_move_count_t *counts_val;
	} counts;
};
typedef struct rpc_heartbeat_t rpc_heartbeat_t;

struct exchange_args_t {
	u_quad_t sequence;
	bool_t want_promise;
	rpc_heartbeat_t heartbeat;
};
typedef struct exchange_args_t exchange_args_t;

struct exchange_result_t {
	u_quad_t sequence;
	bool_t promises;
	bool_t knows_incarnation;
	bool_t superseded;
	rpc_heartbeat_t heartbeat;
};
typedef struct exchange_result_t exchange_result_t;

struct rpc_withdrawal_t {
	rpc_digest_t digest;
	u_quad_t store_version;
};
typedef struct rpc_withdrawal_t rpc_withdrawal_t;

struct withdraw_args_t {
	struct {
		u_int keys_len;
		rpc_withdrawal_t *keys_val;
	} keys;
};
typedef struct withdraw_args_t withdraw_args_t;

struct withdraw_result_t {
	bool_t confirmed;
	u_quad_t incarnation;
	u_quad_t keys_version;
};
typedef struct withdraw_result_t withdraw_result_t;

struct fetch_keys_args_t {
	u_quad_t since;
};
typedef struct fetch_keys_args_t fetch_keys_args_t;

struct rpc_key_row_t {
	rpc_digest_t digest;
	rpc_name_t workspace;
	bool_t withdrawn;
	u_quad_t store_version;
};
typedef struct rpc_key_row_t rpc_key_row_t;

struct fetch_keys_result_t {
	struct {
		u_int keys_len;
		rpc_key_row_t *keys_val;
	} keys;
	u_quad_t keys_version;
	bool_t more;
};
typedef struct fetch_keys_result_t fetch_keys_result_t;

struct fetch_config_args_t {
	u_quad_t config_version;
};
typedef struct fetch_config_args_t fetch_config_args_t;

struct rpc_config_t {
	u_quad_t config_version;
	rpc_digest_t digest;
	char *text;
};
typedef struct rpc_config_t rpc_config_t;

struct fetch_config_result_t {
	bool_t present;
	union {
		rpc_config_t config;
	} fetch_config_result_t_u;
};
typedef struct fetch_config_result_t fetch_config_result_t;

struct borrow_args_t {
	rpc_name_t workspace;
	rpc_name_t borrower;
	u_quad_t incarnation;
	u_quad_t sequence;
	u_quad_t epoch;
	u_quad_t taken;
	u_quad_t used;
	u_quad_t returned;
	u_quad_t demand;
	u_quad_t wanted;
	quad_t delegated_rate;
	quad_t delegated_burst;
	quad_t echo;
};
typedef struct borrow_args_t borrow_args_t;

struct borrow_result_t {
	bool_t answered;
	u_quad_t epoch;
	u_quad_t sequence;
	u_quad_t granted;
	u_quad_t excess;
	quad_t stamp;
};
typedef struct borrow_result_t borrow_result_t;

struct rpc_suspect_t {
	rpc_digest_t fingerprint;
	u_int kind;
	rpc_name_t endpoint;
	u_int age_ms;
	u_int run_age_ms;
	u_int left_ms;
};
typedef struct rpc_suspect_t rpc_suspect_t;

struct suspect_args_t {
	struct {
		u_int suspects_len;
		rpc_suspect_t *suspects_val;
	} suspects;
};
typedef struct suspect_args_t suspect_args_t;

enum operate_op_t {
	OPERATE_STATUS = 0,
	OPERATE_DUMP = 1,
	OPERATE_APPLY = 2,
	OPERATE_KEY_ISSUE = 3,
	OPERATE_KEY_WITHDRAW = 4,
	OPERATE_MOVE_START = 5,
	OPERATE_MOVE_CANCEL = 6,
	OPERATE_PROGRESS = 7,
};
typedef enum operate_op_t operate_op_t;

struct operate_apply_t {
	u_quad_t base_version;
	char *text;
	rpc_token_t token;
};
typedef struct operate_apply_t operate_apply_t;

struct operate_key_issue_t {
	rpc_name_t workspace;
	rpc_digest_t digest;
	rpc_token_t token;
};
typedef struct operate_key_issue_t operate_key_issue_t;

struct operate_key_withdraw_t {
	rpc_digest_t digest;
	rpc_token_t token;
};
typedef struct operate_key_withdraw_t operate_key_withdraw_t;

enum rpc_move_kind_t {
	RPC_MOVE_SHIFT = 0,
	RPC_MOVE_DRAIN = 1,
	RPC_MOVE_ROLLOUT = 2,
};
typedef enum rpc_move_kind_t rpc_move_kind_t;

struct operate_move_start_t {
	rpc_move_kind_t kind;
	rpc_name_t service;
	rpc_name_t from;
	rpc_name_t to;
	u_int share_permille;
	u_int within_sec;
	rpc_token_t token;
};
typedef struct operate_move_start_t operate_move_start_t;

struct operate_move_cancel_t {
	rpc_name_t move;
	rpc_token_t token;
};
typedef struct operate_move_cancel_t operate_move_cancel_t;

struct operate_progress_t {
	rpc_token_t token;
};
typedef struct operate_progress_t operate_progress_t;

struct operate_args_t {
	operate_op_t op;
	union {
		operate_apply_t apply;
		operate_key_issue_t key_issue;
		operate_key_withdraw_t key_withdraw;
		operate_move_start_t move_start;
		operate_move_cancel_t move_cancel;
		operate_progress_t progress;
	} operate_args_t_u;
};
typedef struct operate_args_t operate_args_t;

enum operate_outcome_t {
	OPERATE_ACCEPTED = 0,
	OPERATE_IN_FORCE = 1,
	OPERATE_DONE = 2,
	OPERATE_TAKEN_BACK = 3,
	OPERATE_CONFLICT = 4,
	OPERATE_REFUSED = 5,
	OPERATE_UNKNOWN = 6,
};
typedef enum operate_outcome_t operate_outcome_t;

struct operate_result_t {
	operate_outcome_t outcome;
	u_quad_t result_version;
	u_int hosts_confirmed;
	u_int hosts_total;
	char *text;
};
typedef struct operate_result_t operate_result_t;

#define HOST_PROGRAM 0x20676c6d
#define HOST_VERSION 1

#if defined(__STDC__) || defined(__cplusplus)
#define HOST_NULL 0
extern  void * host_null_1(void *, CLIENT *);
extern  void * host_null_1_svc(void *, struct svc_req *);
#define HOST_EXCHANGE 1
extern  exchange_result_t * host_exchange_1(exchange_args_t *, CLIENT *);
extern  exchange_result_t * host_exchange_1_svc(exchange_args_t *, struct svc_req *);
#define HOST_WITHDRAW 2
extern  withdraw_result_t * host_withdraw_1(withdraw_args_t *, CLIENT *);
extern  withdraw_result_t * host_withdraw_1_svc(withdraw_args_t *, struct svc_req *);
#define HOST_FETCH_KEYS 3
extern  fetch_keys_result_t * host_fetch_keys_1(fetch_keys_args_t *, CLIENT *);
extern  fetch_keys_result_t * host_fetch_keys_1_svc(fetch_keys_args_t *, struct svc_req *);
#define HOST_FETCH_CONFIG 4
extern  fetch_config_result_t * host_fetch_config_1(fetch_config_args_t *, CLIENT *);
extern  fetch_config_result_t * host_fetch_config_1_svc(fetch_config_args_t *, struct svc_req *);
#define HOST_BORROW 5
extern  borrow_result_t * host_borrow_1(borrow_args_t *, CLIENT *);
extern  borrow_result_t * host_borrow_1_svc(borrow_args_t *, struct svc_req *);
#define HOST_SUSPECT 6
extern  void * host_suspect_1(suspect_args_t *, CLIENT *);
extern  void * host_suspect_1_svc(suspect_args_t *, struct svc_req *);
#define HOST_OPERATE 7
extern  operate_result_t * host_operate_1(operate_args_t *, CLIENT *);
extern  operate_result_t * host_operate_1_svc(operate_args_t *, struct svc_req *);
extern int host_program_1_freeresult (SVCXPRT *, xdrproc_t, caddr_t);

#else /* K&R C */
#define HOST_NULL 0
extern  void * host_null_1();
extern  void * host_null_1_svc();
#define HOST_EXCHANGE 1
extern  exchange_result_t * host_exchange_1();
extern  exchange_result_t * host_exchange_1_svc();
#define HOST_WITHDRAW 2
extern  withdraw_result_t * host_withdraw_1();
extern  withdraw_result_t * host_withdraw_1_svc();
#define HOST_FETCH_KEYS 3
extern  fetch_keys_result_t * host_fetch_keys_1();
extern  fetch_keys_result_t * host_fetch_keys_1_svc();
#define HOST_FETCH_CONFIG 4
extern  fetch_config_result_t * host_fetch_config_1();
extern  fetch_config_result_t * host_fetch_config_1_svc();
#define HOST_BORROW 5
extern  borrow_result_t * host_borrow_1();
extern  borrow_result_t * host_borrow_1_svc();
#define HOST_SUSPECT 6
extern  void * host_suspect_1();
extern  void * host_suspect_1_svc();
#define HOST_OPERATE 7
extern  operate_result_t * host_operate_1();
extern  operate_result_t * host_operate_1_svc();
extern int host_program_1_freeresult ();
#endif /* K&R C */

/* the xdr functions */

#if defined(__STDC__) || defined(__cplusplus)
extern  bool_t xdr_rpc_name_t (XDR *, rpc_name_t*);
extern  bool_t xdr_rpc_address_t (XDR *, rpc_address_t*);
extern  bool_t xdr_rpc_digest_t (XDR *, rpc_digest_t);
extern  bool_t xdr_rpc_token_t (XDR *, rpc_token_t);
extern  bool_t xdr_rpc_nonce_t (XDR *, rpc_nonce_t);
extern  bool_t xdr_rpc_cred_t (XDR *, rpc_cred_t*);
extern  bool_t xdr_rpc_host_state_t (XDR *, rpc_host_state_t*);
extern  bool_t xdr_rpc_host_t (XDR *, rpc_host_t*);
extern  bool_t xdr_rpc_lease_t (XDR *, rpc_lease_t*);
extern  bool_t xdr_rpc_move_step_t (XDR *, rpc_move_step_t*);
extern  bool_t xdr_rpc_version_count_t (XDR *, rpc_version_count_t*);
extern  bool_t xdr_rpc_move_count_t (XDR *, rpc_move_count_t*);
extern  bool_t xdr_rpc_load_t (XDR *, rpc_load_t*);
extern  bool_t xdr_rpc_heartbeat_t (XDR *, rpc_heartbeat_t*);
extern  bool_t xdr_exchange_args_t (XDR *, exchange_args_t*);
extern  bool_t xdr_exchange_result_t (XDR *, exchange_result_t*);
extern  bool_t xdr_rpc_withdrawal_t (XDR *, rpc_withdrawal_t*);
extern  bool_t xdr_withdraw_args_t (XDR *, withdraw_args_t*);
extern  bool_t xdr_withdraw_result_t (XDR *, withdraw_result_t*);
extern  bool_t xdr_fetch_keys_args_t (XDR *, fetch_keys_args_t*);
extern  bool_t xdr_rpc_key_row_t (XDR *, rpc_key_row_t*);
extern  bool_t xdr_fetch_keys_result_t (XDR *, fetch_keys_result_t*);
extern  bool_t xdr_fetch_config_args_t (XDR *, fetch_config_args_t*);
extern  bool_t xdr_rpc_config_t (XDR *, rpc_config_t*);
extern  bool_t xdr_fetch_config_result_t (XDR *, fetch_config_result_t*);
extern  bool_t xdr_borrow_args_t (XDR *, borrow_args_t*);
extern  bool_t xdr_borrow_result_t (XDR *, borrow_result_t*);
extern  bool_t xdr_rpc_suspect_t (XDR *, rpc_suspect_t*);
extern  bool_t xdr_suspect_args_t (XDR *, suspect_args_t*);
extern  bool_t xdr_operate_op_t (XDR *, operate_op_t*);
extern  bool_t xdr_operate_apply_t (XDR *, operate_apply_t*);
extern  bool_t xdr_operate_key_issue_t (XDR *, operate_key_issue_t*);
extern  bool_t xdr_operate_key_withdraw_t (XDR *, operate_key_withdraw_t*);
extern  bool_t xdr_rpc_move_kind_t (XDR *, rpc_move_kind_t*);
extern  bool_t xdr_operate_move_start_t (XDR *, operate_move_start_t*);
extern  bool_t xdr_operate_move_cancel_t (XDR *, operate_move_cancel_t*);
extern  bool_t xdr_operate_progress_t (XDR *, operate_progress_t*);
extern  bool_t xdr_operate_args_t (XDR *, operate_args_t*);
extern  bool_t xdr_operate_outcome_t (XDR *, operate_outcome_t*);
extern  bool_t xdr_operate_result_t (XDR *, operate_result_t*);

#else /* K&R C */
extern bool_t xdr_rpc_name_t ();
extern bool_t xdr_rpc_address_t ();
extern bool_t xdr_rpc_digest_t ();
extern bool_t xdr_rpc_token_t ();
extern bool_t xdr_rpc_nonce_t ();
extern bool_t xdr_rpc_cred_t ();
extern bool_t xdr_rpc_host_state_t ();
extern bool_t xdr_rpc_host_t ();
extern bool_t xdr_rpc_lease_t ();
extern bool_t xdr_rpc_move_step_t ();
extern bool_t xdr_rpc_version_count_t ();
extern bool_t xdr_rpc_move_count_t ();
extern bool_t xdr_rpc_load_t ();
extern bool_t xdr_rpc_heartbeat_t ();
extern bool_t xdr_exchange_args_t ();
extern bool_t xdr_exchange_result_t ();
extern bool_t xdr_rpc_withdrawal_t ();
extern bool_t xdr_withdraw_args_t ();
extern bool_t xdr_withdraw_result_t ();
extern bool_t xdr_fetch_keys_args_t ();
extern bool_t xdr_rpc_key_row_t ();
extern bool_t xdr_fetch_keys_result_t ();
extern bool_t xdr_fetch_config_args_t ();
extern bool_t xdr_rpc_config_t ();
extern bool_t xdr_fetch_config_result_t ();
extern bool_t xdr_borrow_args_t ();
extern bool_t xdr_borrow_result_t ();
extern bool_t xdr_rpc_suspect_t ();
extern bool_t xdr_suspect_args_t ();
extern bool_t xdr_operate_op_t ();
extern bool_t xdr_operate_apply_t ();
extern bool_t xdr_operate_key_issue_t ();
extern bool_t xdr_operate_key_withdraw_t ();
extern bool_t xdr_rpc_move_kind_t ();
extern bool_t xdr_operate_move_start_t ();
extern bool_t xdr_operate_move_cancel_t ();
extern bool_t xdr_operate_progress_t ();
extern bool_t xdr_operate_args_t ();
extern bool_t xdr_operate_outcome_t ();
extern bool_t xdr_operate_result_t ();

#endif /* K&R C */

#ifdef __cplusplus
}
#endif

#endif /* !HOST_RPC_H_RPCGEN */
