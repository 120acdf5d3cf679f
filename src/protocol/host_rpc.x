/*
 * Messages between entry hosts, and from the operators' command to a host.
 * Every string and array has a bound here, which limits the memory that
 * decoding takes.
 */

const RPC_NAME_MAX = 127;
const RPC_ADDRESS_MAX = 64;
const RPC_REASON_MAX = 255;
const RPC_TEXT_MAX = 1048576;
const RPC_LEASES_MAX = 256;
const RPC_MOVES_MAX = 256;
const RPC_COUNTS_MAX = 256;
const RPC_LOADS_MAX = 1024;
const RPC_KEYS_MAX = 2048;
const RPC_SUSPECTS_MAX = 256;
const RPC_DIGEST_SIZE = 32;
const RPC_TOKEN_SIZE = 16;
const RPC_NONCE_SIZE = 16;

typedef string rpc_name_t<RPC_NAME_MAX>;
typedef string rpc_address_t<RPC_ADDRESS_MAX>;
typedef opaque rpc_digest_t[RPC_DIGEST_SIZE];
typedef opaque rpc_token_t[RPC_TOKEN_SIZE];
typedef opaque rpc_nonce_t[RPC_NONCE_SIZE];

/* Body of the credential in every call. */
struct rpc_cred_t {
	rpc_nonce_t session;
	rpc_nonce_t nonce;
	rpc_address_t caller;
	rpc_address_t callee;
	unsigned hyper elapsed_ms;
};

enum rpc_host_state_t {
	RPC_HOST_JOINING = 0,
	RPC_HOST_LIVE = 1,
	RPC_HOST_LEAVING = 2,
	RPC_HOST_GONE = 3
};

struct rpc_host_t {
	rpc_name_t id;
	unsigned hyper incarnation;
	rpc_name_t region;
	rpc_name_t domain;
	rpc_address_t rpc_address;
	rpc_address_t callers_address;
	rpc_host_state_t state;
	rpc_name_t build;
};

struct rpc_lease_t {
	rpc_name_t name;
	unsigned hyper epoch;
};

/* stopped: this host sends the new version no more, by its own observation. */
struct rpc_move_step_t {
	rpc_name_t move;
	unsigned int step;
	bool stopped;
};

/* Tries that ended since this host first served the move's new version. */
struct rpc_version_count_t {
	unsigned int requests;
	unsigned int errors;
	unsigned int slow;
};

/* Counts of both versions of a rollout on one route in one load band. */
struct rpc_move_count_t {
	rpc_name_t move;
	rpc_name_t route;
	unsigned int band;
	rpc_version_count_t new_version;
	rpc_version_count_t old_version;
};

struct rpc_load_t {
	rpc_name_t endpoint;
	unsigned int in_flight;
};

/*
 * What a host reports about itself. store_age_ms is the age of its last scan of
 * the keys, or -1 if it has no valid one.
 */
struct rpc_heartbeat_t {
	rpc_host_t host;
	unsigned hyper config_version;
	rpc_digest_t config_digest;
	unsigned hyper keys_version;
	hyper store_age_ms;
	rpc_lease_t leases<RPC_LEASES_MAX>;
	rpc_move_step_t moves<RPC_MOVES_MAX>;
	rpc_load_t loads<RPC_LOADS_MAX>;
	rpc_move_count_t counts<RPC_COUNTS_MAX>;
};

struct exchange_args_t {
	unsigned hyper sequence;
	bool want_promise;
	rpc_heartbeat_t heartbeat;
};

struct exchange_result_t {
	unsigned hyper sequence;
	bool promises;
	bool knows_incarnation;
	bool superseded;
	rpc_heartbeat_t heartbeat;
};

/* store_version is 0 until the store has accepted the withdrawal. */
struct rpc_withdrawal_t {
	rpc_digest_t digest;
	unsigned hyper store_version;
};

struct withdraw_args_t {
	rpc_withdrawal_t keys<RPC_KEYS_MAX>;
};

struct withdraw_result_t {
	bool confirmed;
	unsigned hyper incarnation;
	unsigned hyper keys_version;
};

struct fetch_keys_args_t {
	unsigned hyper since;
};

struct rpc_key_row_t {
	rpc_digest_t digest;
	rpc_name_t workspace;
	bool withdrawn;
	unsigned hyper store_version;
};

struct fetch_keys_result_t {
	rpc_key_row_t keys<RPC_KEYS_MAX>;
	unsigned hyper keys_version;
	bool more;
};

struct fetch_config_args_t {
	unsigned hyper config_version;
};

struct rpc_config_t {
	unsigned hyper config_version;
	rpc_digest_t digest;
	string text<RPC_TEXT_MAX>;
};

union fetch_config_result_t switch (bool present) {
case TRUE:
	rpc_config_t config;
case FALSE:
	void;
};

/*
 * A request to the lender of a workspace. Counts are whole tokens since the
 * borrower's first request to this epoch's lender.
 */
struct borrow_args_t {
	rpc_name_t workspace;
	rpc_name_t borrower;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned hyper epoch;
	unsigned hyper taken;
	unsigned hyper used;
	unsigned hyper returned;
	unsigned hyper demand;
	unsigned hyper wanted;
	hyper delegated_rate;
	hyper delegated_burst;
	hyper echo;
};

/* answered is false if this host is not the lender or the request is stale. */
struct borrow_result_t {
	bool answered;
	unsigned hyper epoch;
	unsigned hyper sequence;
	unsigned hyper granted;
	unsigned hyper excess;
	hyper stamp;
};

/* Event about a request that may crash servers; endpoint may be empty. */
struct rpc_suspect_t {
	rpc_digest_t fingerprint;
	unsigned int kind;
	rpc_name_t endpoint;
	unsigned int age_ms;
	unsigned int run_age_ms;
	unsigned int left_ms;
};

struct suspect_args_t {
	rpc_suspect_t suspects<RPC_SUSPECTS_MAX>;
};

enum operate_op_t {
	OPERATE_STATUS = 0,
	OPERATE_DUMP = 1,
	OPERATE_APPLY = 2,
	OPERATE_KEY_ISSUE = 3,
	OPERATE_KEY_WITHDRAW = 4,
	OPERATE_MOVE_START = 5,
	OPERATE_MOVE_CANCEL = 6,
	OPERATE_PROGRESS = 7
};

struct operate_apply_t {
	unsigned hyper base_version;
	string text<RPC_TEXT_MAX>;
	rpc_token_t token;
};

struct operate_key_issue_t {
	rpc_name_t workspace;
	rpc_digest_t digest;
	rpc_token_t token;
};

struct operate_key_withdraw_t {
	rpc_digest_t digest;
	rpc_token_t token;
};

enum rpc_move_kind_t {
	RPC_MOVE_SHIFT = 0,
	RPC_MOVE_DRAIN = 1,
	RPC_MOVE_ROLLOUT = 2
};

/*
 * A shift uses service, from and to (regions), and share_permille. A drain uses
 * from for its target. A rollout uses service and to (a version). within_sec is
 * 0 for no limit.
 */
struct operate_move_start_t {
	rpc_move_kind_t kind;
	rpc_name_t service;
	rpc_name_t from;
	rpc_name_t to;
	unsigned int share_permille;
	unsigned int within_sec;
	rpc_token_t token;
};

struct operate_move_cancel_t {
	rpc_name_t move;
	rpc_token_t token;
};

struct operate_progress_t {
	rpc_token_t token;
};

union operate_args_t switch (operate_op_t op) {
case OPERATE_STATUS:
case OPERATE_DUMP:
	void;
case OPERATE_APPLY:
	operate_apply_t apply;
case OPERATE_KEY_ISSUE:
	operate_key_issue_t key_issue;
case OPERATE_KEY_WITHDRAW:
	operate_key_withdraw_t key_withdraw;
case OPERATE_MOVE_START:
	operate_move_start_t move_start;
case OPERATE_MOVE_CANCEL:
	operate_move_cancel_t move_cancel;
case OPERATE_PROGRESS:
	operate_progress_t progress;
};

/*
 * ACCEPTED: will not be reverted, not yet in force on every host. REFUSED: had
 * no effect. UNKNOWN: may or may not have had an effect.
 */
enum operate_outcome_t {
	OPERATE_ACCEPTED = 0,
	OPERATE_IN_FORCE = 1,
	OPERATE_DONE = 2,
	OPERATE_TAKEN_BACK = 3,
	OPERATE_CONFLICT = 4,
	OPERATE_REFUSED = 5,
	OPERATE_UNKNOWN = 6
};

struct operate_result_t {
	operate_outcome_t outcome;
	unsigned hyper result_version;
	unsigned int hosts_confirmed;
	unsigned int hosts_total;
	string text<RPC_TEXT_MAX>;
};

program HOST_PROGRAM {
	version HOST_VERSION {
		void HOST_NULL(void) = 0;
		exchange_result_t HOST_EXCHANGE(exchange_args_t) = 1;
		withdraw_result_t HOST_WITHDRAW(withdraw_args_t) = 2;
		fetch_keys_result_t HOST_FETCH_KEYS(fetch_keys_args_t) = 3;
		fetch_config_result_t HOST_FETCH_CONFIG(fetch_config_args_t) = 4;
		borrow_result_t HOST_BORROW(borrow_args_t) = 5;
		void HOST_SUSPECT(suspect_args_t) = 6;
		operate_result_t HOST_OPERATE(operate_args_t) = 7;
	} = 1;
} = 0x20676c6d;
