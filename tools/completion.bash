# Bash completion of fuchsiaward. Source this file, or install it for
# bash-completion.
_fuchsiaward() {
    local cur=${COMP_WORDS[COMP_CWORD]} words=() i
    for ((i = 1; i < COMP_CWORD; i++)); do
        case ${COMP_WORDS[i]} in
        -i | -f | -k | --instances | --fleet | --key-file) ((i++)) ;;
        -*) ;;
        *) words+=("${COMP_WORDS[i]}") ;;
        esac
    done
    local options="--instances --fleet --key-file --json --wait --help"
    case "${words[*]}" in
    "team set") options+=" --rate --burst --priority --models" ;;
    "pool set") options+=" --serves --prefill-min --decode-min --kv-bytes" ;;
    "upstream set") options+=" --pool --url --domain --role --fencing --slots --prefill-rate" ;;
    "audit") options+=" --max --before --who --name" ;;
    esac
    local next=
    case "${words[*]}" in
    "") next="show audit explain sheet key team pool upstream operator setting change" ;;
    show) next="config teams keys pools upstreams services operators settings instances requests orders" ;;
    sheet) next="export check apply" ;;
    key) next="give withdraw" ;;
    team | pool) next="set remove" ;;
    upstream) next="set drain undrain remove" ;;
    operator) next="give withdraw first" ;;
    setting) next="set" ;;
    "setting set") next="on-withdraw" ;;
    "setting set on-withdraw") next="cut finish" ;;
    "sheet check" | "sheet apply" | "sheet export" | change)
        mapfile -t COMPREPLY < <(compgen -f -- "$cur")
        return
        ;;
    esac
    case $cur in
    -*) next=$options ;;
    esac
    mapfile -t COMPREPLY < <(compgen -W "$next" -- "$cur")
}
complete -F _fuchsiaward fuchsiaward
